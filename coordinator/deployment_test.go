package coordinator

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Environment variables override the platform file. A required value that is in neither is reported by the name of
// its variable.
func TestEnvironmentOverridesPlatformFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"127.0.0.1:1","settings":` + settingsJSON + `}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	variables := map[string]string{}
	read := func() (*Deployment, error) {
		return ReadDeployment(func(name string) string { return variables[name] })
	}
	checkMissing := func(variable string) {
		t.Helper()
		var missing *MissingVariableError
		if _, err := read(); !errors.As(err, &missing) || missing.Variable != variable {
			t.Errorf("%v, want a missing %s", err, variable)
		}
	}
	checkMissing("ROUTER_CONFIG")
	variables["ROUTER_CONFIG"] = path
	checkMissing("ROUTER_DISCOVERY")
	variables["ROUTER_DISCOVERY"] = "127.0.0.1:2"
	variables["ROUTER_NAME"] = "n1"
	deployment, err := read()
	if err != nil {
		t.Fatal(err)
	}
	if deployment.Name != "n1" || deployment.Listen != "127.0.0.1:1" || deployment.Discovery != "127.0.0.1:2" {
		t.Errorf("name %s, listen %s, discovery %s", deployment.Name, deployment.Listen, deployment.Discovery)
	}
}
