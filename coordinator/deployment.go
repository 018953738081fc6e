package coordinator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"

	"terntray/config"
	"terntray/internal/wire"
)

// Names of environment variables.
const (
	configVariable    = "ROUTER_CONFIG"
	nameVariable      = "ROUTER_NAME"
	listenVariable    = "ROUTER_LISTEN"
	discoveryVariable = "ROUTER_DISCOVERY"
)

// Deployment is the configuration of a co-ordinator: the platform file (ROUTER_CONFIG), some values of which can be
// overridden by environment variables, and the installation file (package config).
type Deployment struct {
	Name           string            `json:"name"`
	Listen         string            `json:"listen"`    // host:port for clients
	Discovery      string            `json:"discovery"` // host:port
	Seed           string            `json:"seed"`      // of the random number generator; see seed
	Limits         Limits            `json:"limits"`
	KnownEndpoints wire.EndpointList `json:"known"` // the last known endpoint list, which may be old
	SettingsJSON   json.RawMessage   `json:"settings"`

	// Installation is the content of the installation file; nil: there is none.
	Installation *config.Config `json:"-"`

	settings        map[string]string // SettingsJSON by path; see Flatten
	path            string            // of the platform file
	discoveryInFile string            // Discovery as in the file, before the environment overrides it
}

// Limits are the resource limits of the process; 0: unknown.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// MissingVariableError reports that a required environment variable is not set, and that the platform file has no
// value in its place.
type MissingVariableError struct {
	Variable string
	Expected string // what the variable should hold
}

// Error names the variable and its expected content.
func (e *MissingVariableError) Error() string {
	return fmt.Sprintf("%s is not set; expected %s", e.Variable, e.Expected)
}

// ReadDeployment reads the platform file that the environment names, and applies the environment's overrides. It does
// not read the installation file.
func ReadDeployment(env func(string) string) (*Deployment, error) {
	path := env(configVariable)
	if path == "" {
		return nil, &MissingVariableError{configVariable, "the path of the platform file"}
	}
	deployment, err := readFile(path)
	if err != nil {
		return nil, err
	}
	replaceIfSet(&deployment.Name, env(nameVariable))
	replaceIfSet(&deployment.Listen, env(listenVariable))
	replaceIfSet(&deployment.Discovery, env(discoveryVariable))
	if deployment.Listen == "" {
		return nil, &MissingVariableError{listenVariable, "the host:port to listen on for clients"}
	}
	if deployment.Discovery == "" {
		return nil, &MissingVariableError{discoveryVariable, "the host:port of discovery"}
	}
	return deployment, nil
}

func replaceIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// readFile reads the platform file without the environment's overrides.
func readFile(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	deployment := &Deployment{path: path}
	if err := json.Unmarshal(text, deployment); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %s: %w", path, err)
	}
	deployment.settings, err = Flatten(deployment.SettingsJSON)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %s: settings: %w", path, err)
	}
	deployment.discoveryInFile = deployment.Discovery
	return deployment, nil
}

// seed converts Seed to a number: the value of hexadecimal text, or the hash of any other text.
func (deployment *Deployment) seed() uint64 {
	if number, err := strconv.ParseUint(deployment.Seed, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(deployment.Seed))
	return hash.Sum64()
}
