// Package coordinator is a co-ordinator on sockets: it takes clients' queries, sends their parts to
// replicas and follows the list of replicas. What it does with them is decided in package scheduler.
package coordinator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"os"
	"strconv"
	"strings"
	"time"

	"terntray/config"
	"terntray/internal/wire"
	"terntray/scheduler"
)

// Deployment is what a co-ordinator is told before it starts.
type Deployment struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    Limits            `json:"limits"`
	Known     wire.EndpointList `json:"known"`
	Nested    json.RawMessage   `json:"settings"`

	// Installation is the project's own settings; nil: as without a file.
	Installation *config.Config `json:"-"`

	settings        map[string]string
	path            string // of the file
	discoveryInFile string // the address of discovery as the file states it
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ReadDeployment reads what the environment names.
func ReadDeployment(env func(string) string) (*Deployment, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set: the file that describes the deployment")
	}
	d, err := readFile(path)
	if err != nil {
		return nil, err
	}
	for name, field := range map[string]*string{
		"ROUTER_NAME": &d.Name, "ROUTER_LISTEN": &d.Listen, "ROUTER_DISCOVERY": &d.Discovery,
	} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	if d.Listen == "" {
		return nil, errors.New("ROUTER_LISTEN is not set: the address that clients connect to")
	}
	if d.Discovery == "" {
		return nil, errors.New("ROUTER_DISCOVERY is not set: the address of discovery")
	}
	return d, nil
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
	if d.settings, err = Flatten(d.Nested); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %s: settings: %w", path, err)
	}
	d.discoveryInFile = d.Discovery
	return d, nil
}

// Flatten gives nested settings the form that the simulator gives them: a path for each value; a list of
// plain values is joined with commas, a list of objects has its length under .count.
func Flatten(nested []byte) (map[string]string, error) {
	in := json.NewDecoder(bytes.NewReader(nested))
	in.UseNumber()
	var tree map[string]any
	if err := in.Decode(&tree); err != nil {
		return nil, err
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one object")
	}
	flat := map[string]string{}
	flatten(flat, "", tree)
	return flat, nil
}

func flatten(flat map[string]string, path string, value any) {
	below := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(flat, below(name), inner)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for n, inner := range v {
			if _, object := inner.(map[string]any); object {
				flat[below("count")] = strconv.Itoa(len(v))
				flatten(flat, below(strconv.Itoa(n)), inner)
			} else {
				plain = append(plain, scalar(inner))
			}
		}
		if len(plain) == len(v) {
			flat[path] = strings.Join(plain, ",")
		}
	default:
		flat[path] = scalar(v)
	}
}

var inValues = strings.NewReplacer(" ", "_", ",", "_", "\t", "_", "\n", "_")

func scalar(v any) string {
	if v == nil {
		return "-"
	}
	return inValues.Replace(fmt.Sprint(v))
}

// seed is the number that stands for a seed in hexadecimal or any other text.
func (d *Deployment) seed() uint64 {
	if n, err := strconv.ParseUint(d.Seed, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(d.Seed))
	return h.Sum64()
}

// names is a list in the settings, either of plain names or of objects with names.
func (d *Deployment) names(list string) []string {
	if n, err := strconv.Atoi(d.settings[list+".count"]); err == nil {
		names := make([]string, n)
		for i := range names {
			names[i] = d.settings[fmt.Sprintf("%s.%d.name", list, i)]
		}
		return names
	}
	if d.settings[list] == "" {
		return nil
	}
	return strings.Split(d.settings[list], ",")
}

func (d *Deployment) wholeNumber(name string, absent int) (int, error) {
	v := d.settings[name]
	if v == "" || v == "-" {
		return absent, nil
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || n > 1e15 {
		return 0, fmt.Errorf("setting %s is unreadable: %q", name, v)
	}
	return int(n), nil
}

func (d *Deployment) duration(name string, absent time.Duration) (time.Duration, error) {
	n, err := d.wholeNumber(name, int(absent.Microseconds()))
	return time.Duration(n) * time.Microsecond, err
}

// aboveZero are settings that, where they are stated, mean nothing at 0 or below; most is the largest that can be meant.
var aboveZero = []struct {
	name string
	most float64
}{
	{"familyInfo.cells", 1e6}, {"familyInfo.span", 1e6}, {"familyInfo.ranges", 1e9}, {"bounds.connectTimeout", 1e15},
	{"bounds.maxOpen", 1e15}, {"bounds.multiplex", 1e15}, {"bounds.maxAttempts", 1e15}, {"guarantees.askEvery", 1e15},
}

// validate names a setting with which nothing could be served although each figure can be read. Guards against: a start that
// turns everything back, calls nobody or breaks. Could hurt: a deployment that means something by such a figure.
func (d *Deployment) validate() error {
	for _, s := range aboveZero {
		v := d.settings[s.name]
		if n, err := strconv.ParseFloat(v, 64); v != "" && v != "-" && (err != nil || !(n > 0 && n <= s.most)) {
			return fmt.Errorf("setting %s is unreadable or out of range: %q", s.name, v)
		}
	}
	seen := map[string]bool{}
	for n, name := range d.names("lanes") {
		if name == "" || strings.ContainsAny(name, "/? ") || seen[name] {
			return fmt.Errorf("setting lanes.%d.name is missing, stands twice or is no part of a path: %q", n, name)
		}
		seen[name] = true
	}
	return nil
}

// schedulerConfigs reads what the scheduler starts with, and what the installation file wants decisions to be counted under
// beside it; nil: nothing.
func (d *Deployment) schedulerConfigs() (decided scheduler.Config, shadow *scheduler.Config, err error) {
	installation := d.Installation
	if installation == nil {
		installation = &config.Config{}
	}
	settings := d.supportedSettings(len(installation.Gossip.Peers) > 0)
	if decided, err = scheduler.ParseConfig(settings); err != nil {
		return decided, nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if len(installation.Shadow.Settings) == 0 {
		return decided, nil, nil
	}
	maps.Copy(settings, installation.Shadow.Settings)
	other, err := scheduler.ParseConfig(settings)
	if err != nil {
		return decided, nil, fmt.Errorf("installation: watch.settings: %w", err)
	}
	return decided, &other, nil
}

// supportedSettings gives the settings as this program can carry them out: messages between co-ordinators are allowed, not asked for,
// and go to nobody where nobody is named; the protocol has no second step, and tracks with one are answered 501. Guards
// against: settings of another customer that are valid, and with which this would not start.
func (d *Deployment) supportedSettings(named bool) map[string]string {
	settings := maps.Clone(d.settings)
	for name, value := range d.unsupportedSettings(named) {
		settings[name] = value
	}
	return settings
}

// unsupportedSettings are the settings that cannot be carried out, with the values that hold in their place.
func (d *Deployment) unsupportedSettings(named bool) map[string]string {
	all := map[string]string{}
	if d.settings["bounds.peers"] == "true" && !named {
		all["bounds.peers"] = "false"
	}
	if fetch := d.settings["familyInfo.classFetch"]; strings.Trim(fetch, "0,.-") != "" {
		all["familyInfo.classFetch"] = "0"
	}
	return all
}
