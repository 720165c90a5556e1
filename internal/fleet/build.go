package fleet

import (
	"os/exec"
	"path/filepath"
	"strings"

	"filbertdeck/internal/failure"
)

// BuildPrograms compiles every program of the module into dir, for tests that run the
// programs as processes.
func BuildPrograms(dir string) error {
	goMod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot locate go.mod")
	}
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(goMod)))
	if out, err := cmd.CombinedOutput(); err != nil {
		return failure.Wrap(err, failure.KindInternal, "cannot build the programs: %s", out)
	}
	return nil
}
