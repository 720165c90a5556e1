package main

// cases are the script cases by name.
var cases = map[string]func(*rig) (broken bool, err error){
	"evacuated-crash": evacuatedCrash,
	"leaving-server":  leavingServer,
	"changed-path":    changedPath,
	"endless-heads":   endlessHeads,
	"no-seal":         unsealedSuccess,
}
