package main

// cases are the script cases by name.
var cases = map[string]func(*rig) (broken bool, err error){
	"changed-path":  changedPath,
	"wrong-route":   wrongRoute,
	"endless-heads": endlessHeads,
	"no-seal":       unsealedSuccess,
}
