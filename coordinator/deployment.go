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

// Deployment is what a co-ordinator is told before it starts: the platform's configuration file, in which environment
// variables may replace some values, and the project's own installation file.
type Deployment struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`    // host:port for clients
	Discovery string            `json:"discovery"` // host:port
	Seed      string            `json:"seed"`      // of draws of chance
	Limits    Limits            `json:"limits"`
	Known     wire.EndpointList `json:"known"` // the endpoint list as it was last known; may be old
	Nested    json.RawMessage   `json:"settings"`

	// Installation is the project's own settings; nil: as without a file.
	Installation *config.Config `json:"-"`

	settings        map[string]string // Nested, by path: see Flatten
	path            string            // of the file
	discoveryInFile string            // Discovery before the environment replaced it
}

// Limits are those of the machine; 0: not known.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// MissingVariableError says that an environment variable is not set, and that the configuration file does not have what it
// says either.
type MissingVariableError struct {
	Variable string
	Wanted   string // what it has to say
}

func (e *MissingVariableError) Error() string {
	return fmt.Sprintf("%s is not set: %s", e.Variable, e.Wanted)
}

// ReadDeployment reads the configuration file that the environment names. The installation file is not read.
func ReadDeployment(env func(string) string) (*Deployment, error) {
	path := env(configVariable)
	if path == "" {
		return nil, &MissingVariableError{configVariable, "the file that describes the deployment"}
	}
	d, err := readFile(path)
	if err != nil {
		return nil, err
	}
	replaceIfSet(&d.Name, env(nameVariable))
	replaceIfSet(&d.Listen, env(listenVariable))
	replaceIfSet(&d.Discovery, env(discoveryVariable))
	if d.Listen == "" {
		return nil, &MissingVariableError{listenVariable, "the address that clients connect to"}
	}
	if d.Discovery == "" {
		return nil, &MissingVariableError{discoveryVariable, "the address of discovery"}
	}
	return d, nil
}

func replaceIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// readFile reads what the file alone says.
func readFile(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	d := &Deployment{path: path}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %s: %w", path, err)
	}
	d.settings, err = Flatten(d.Nested)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %s: settings: %w", path, err)
	}
	d.discoveryInFile = d.Discovery
	return d, nil
}

// seed is the number that stands for Seed, which is hexadecimal or any other text.
func (d *Deployment) seed() uint64 {
	if number, err := strconv.ParseUint(d.Seed, 16, 64); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(d.Seed))
	return hash.Sum64()
}
