package fleet

import (
	"os/exec"
	"path/filepath"
	"strings"

	"filbertdeck/internal/failure"
)

// BuildPrograms compiles all programs of the module into dir, for tests that run real
// processes.
func BuildPrograms(dir string) error {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "the module cannot be found")
	}
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(mod)))
	if out, err := cmd.CombinedOutput(); err != nil {
		return failure.Wrap(err, failure.KindInternal, "the programs cannot be built: %s", out)
	}
	return nil
}
