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

// Deployment is what a co-ordinator is told before it starts: the platform file (ROUTER_CONFIG), in which environment
// variables may replace some values, and the installation file (package config).
type Deployment struct {
	Name           string            `json:"name"`
	Listen         string            `json:"listen"`    // host:port for clients
	Discovery      string            `json:"discovery"` // host:port
	Seed           string            `json:"seed"`      // of draws of chance
	Limits         Limits            `json:"limits"`
	KnownEndpoints wire.EndpointList `json:"known"` // the endpoint list as it was last known; may be old
	SettingsJSON   json.RawMessage   `json:"settings"`

	// Installation is what the installation file says; nil: there is none.
	Installation *config.Config `json:"-"`

	settings        map[string]string // SettingsJSON by path: see Flatten
	path            string            // of the platform file
	discoveryInFile string            // Discovery before the environment replaced it
}

// Limits are those of the machine; 0: not known.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// MissingVariableError says that an environment variable is not set, and that the platform file has no value in its
// place either.
type MissingVariableError struct {
	Variable string
	Expected string // what it has to say
}

// Error names the variable and what it has to say.
func (e *MissingVariableError) Error() string {
	return fmt.Sprintf("%s is not set: %s", e.Variable, e.Expected)
}

// ReadDeployment reads the platform file, which the environment names. The installation file is not read.
func ReadDeployment(env func(string) string) (*Deployment, error) {
	path := env(configVariable)
	if path == "" {
		return nil, &MissingVariableError{configVariable, "the file that describes the deployment"}
	}
	deployment, err := readFile(path)
	if err != nil {
		return nil, err
	}
	replaceIfSet(&deployment.Name, env(nameVariable))
	replaceIfSet(&deployment.Listen, env(listenVariable))
	replaceIfSet(&deployment.Discovery, env(discoveryVariable))
	if deployment.Listen == "" {
		return nil, &MissingVariableError{listenVariable, "the address that clients connect to"}
	}
	if deployment.Discovery == "" {
		return nil, &MissingVariableError{discoveryVariable, "the address of discovery"}
	}
	return deployment, nil
}

func replaceIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// readFile reads what the platform file alone says.
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

// seed is the number that stands for Seed, which is hexadecimal or any other text.
func (deployment *Deployment) seed() uint64 {
	if number, err := strconv.ParseUint(deployment.Seed, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(deployment.Seed))
	return hash.Sum64()
}
