package coordinator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"terntray/config"
	"terntray/invariant"
	"terntray/scheduler"
)

// class holds the settings of a class of queries that the coordinator itself uses.
type class struct {
	index     scheduler.ClassIndex
	objective time.Duration    // latency objective
	effect    invariant.Effect // of running a subquery twice
	keyWindow time.Duration    // how long replicas recognise a repeat of a keyed subquery
}

// configure reads the whole configuration, which does not change afterwards.
func (c *Coordinator) configure() error {
	deployment := c.deployment
	if err := deployment.validate(); err != nil {
		return fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var err error
	c.schedulerConfig, c.shadow, err = deployment.schedulerConfigs()
	if err != nil {
		return err
	}
	c.configureClasses()
	c.configureZonesAndTenants()
	shardsErr := c.configureLimits()
	replicasErr := c.configureReplicas()
	twoPhaseErr := c.twoPhase.configure(deployment, &c.schedulerConfig)
	if err := errors.Join(shardsErr, replicasErr, twoPhaseErr); err != nil {
		return fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c.logUnsupportedSettings()
	return deployment.validateInstallation(c.installation)
}

func (c *Coordinator) configureClasses() {
	c.classes = map[string]class{}
	for index, settings := range c.schedulerConfig.Classes {
		c.classes[settings.Name] = class{
			index:     scheduler.ClassIndex(index),
			objective: settings.Objective,
			effect:    settings.Effect,
			keyWindow: settings.KeyWindow,
		}
	}
}

func (c *Coordinator) configureZonesAndTenants() {
	c.zones = map[string]scheduler.ZoneIndex{}
	for index, name := range c.deployment.names("zones") {
		c.zones[name] = scheduler.ZoneIndex(index)
	}
	c.tenants = map[string]scheduler.TenantIndex{}
	for index, name := range c.deployment.names("orgs") {
		c.tenants[name] = scheduler.TenantIndex(index)
	}
}

func (c *Coordinator) configureLimits() error {
	var shardsErr, maxOpenErr error
	c.shards, shardsErr = c.deployment.wholeNumber("familyInfo.ranges", 0)
	if shardsErr == nil && c.shards == 0 {
		shardsErr = &scheduler.SettingError{Key: "familyInfo.ranges", Found: "nothing", Wanted: "the number of shards"}
	}
	c.maxOpen, maxOpenErr = c.deployment.wholeNumber("bounds.maxOpen", math.MaxInt32)
	return errors.Join(shardsErr, maxOpenErr)
}

func (c *Coordinator) logUnsupportedSettings() {
	deployment := c.deployment
	unsupported := deployment.unsupportedSettings(len(c.installation.Gossip.Peers) > 0)
	for _, key := range slices.Sorted(maps.Keys(unsupported)) {
		c.log.Printf("event=unsupported_setting setting=%s value=%q effective=%q",
			key, deployment.settings[key], unsupported[key])
	}
}

// Flatten converts nested settings to the simulator's format, which scheduler.ParseConfig reads: a map from the path
// of each value to its text. A list of scalars is joined with commas. A list of objects has its length under .count and
// its elements under their index.
func Flatten(nested []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(nested))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errMoreThanOneObject
	}
	flat := map[string]string{}
	flatten(flat, "", tree)
	return flat, nil
}

var errMoreThanOneObject = errors.New("found data after the object, wanted a single object")

// flatten adds a value and everything nested in it to flat, under its path.
func flatten(flat map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			flatten(flat, joinPath(path, name), member)
		}
	case []any:
		flattenList(flat, path, value)
	default:
		flat[path] = scalarText(value)
	}
}

func flattenList(flat map[string]string, path string, list []any) {
	scalars := make([]string, 0, len(list))
	for index, element := range list {
		if _, isObject := element.(map[string]any); isObject {
			flat[joinPath(path, "count")] = strconv.Itoa(len(list))
			flatten(flat, joinPath(path, strconv.Itoa(index)), element)
		} else {
			scalars = append(scalars, scalarText(element))
		}
	}
	if len(scalars) == len(list) {
		flat[path] = strings.Join(scalars, ",")
	}
}

func joinPath(path, name string) string { return strings.TrimPrefix(path+"."+name, ".") }

// separators replaces the characters that separate settings and values in the simulator's format with underscores.
var separators = strings.NewReplacer(" ", "_", ",", "_", "\t", "_", "\n", "_")

func scalarText(value any) string {
	if value == nil {
		return absentValue
	}
	return separators.Replace(fmt.Sprint(value))
}

const absentValue = "-" // null in the simulator's format

func isAbsent(value string) bool { return value == "" || value == absentValue }

// isZero reports whether a number, or a list of numbers, is 0 or absent.
func isZero(value string) bool { return strings.Trim(value, "0,.-") == "" }

// names returns the names in a list among the settings, which holds either names or objects with names.
func (deployment *Deployment) names(list string) []string {
	if count, err := strconv.Atoi(deployment.settings[list+".count"]); err == nil {
		names := make([]string, count)
		for index := range names {
			names[index] = deployment.settings[fmt.Sprintf("%s.%d.name", list, index)]
		}
		return names
	}
	if deployment.settings[list] == "" {
		return nil
	}
	return strings.Split(deployment.settings[list], ",")
}

const maxNumber = 1e15 // largest number accepted in a setting

// wholeNumber reads a count from a setting, rounded down. If the setting is absent, it returns defaultValue.
func (deployment *Deployment) wholeNumber(key string, defaultValue int) (int, error) {
	value := deployment.settings[key]
	if isAbsent(value) {
		return defaultValue, nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || number < 0 || number > maxNumber {
		return 0, numberError(key, value, "a number from 0", maxNumber)
	}
	return int(number), nil
}

// duration reads a setting in microseconds. If the setting is absent, it returns defaultValue.
func (deployment *Deployment) duration(key string, defaultValue time.Duration) (time.Duration, error) {
	microseconds, err := deployment.wholeNumber(key, int(defaultValue.Microseconds()))
	return time.Duration(microseconds) * time.Microsecond, err
}

func numberError(key, found, wanted string, largest float64) error {
	wanted = fmt.Sprintf("%s to %g", wanted, largest)
	return &scheduler.SettingError{Key: key, Found: strconv.Quote(found), Wanted: wanted}
}

// positiveSettings are settings that have to be above 0 if they are present, with their largest accepted values.
var positiveSettings = []struct {
	key     string
	largest float64
}{
	{"familyInfo.cells", 1e6},
	{"familyInfo.span", 1e6},
	{"familyInfo.ranges", 1e9},
	{"bounds.connectTimeout", maxNumber},
	{"bounds.maxOpen", maxNumber},
	{"bounds.multiplex", maxNumber},
	{"bounds.maxAttempts", maxNumber},
	{"guarantees.askEvery", maxNumber},
}

// validate returns a *scheduler.SettingError for a setting that can be parsed but makes the process useless: it would
// start and then reject every query, call no replica, or panic.
func (deployment *Deployment) validate() error {
	for _, setting := range positiveSettings {
		value := deployment.settings[setting.key]
		if isAbsent(value) {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		inRange := err == nil && number > 0 && number <= setting.largest
		if !inRange {
			return numberError(setting.key, value, "a number above 0 and up", setting.largest)
		}
	}
	return deployment.validateClassNames()
}

// validateClassNames refuses class names that clients could not use: the name is an element of the request's path.
func (deployment *Deployment) validateClassNames() error {
	seen := map[string]bool{}
	for index, name := range deployment.names("lanes") {
		if name == "" || strings.ContainsAny(name, "/? ") || seen[name] {
			return &scheduler.SettingError{
				Key:    fmt.Sprintf("lanes.%d.name", index),
				Found:  strconv.Quote(name),
				Wanted: "a unique name without slash, question mark or space",
			}
		}
		seen[name] = true
	}
	return nil
}

// validateInstallation refuses an installation file whose peers or sizes contradict the settings.
func (deployment *Deployment) validateInstallation(installation *config.Config) error {
	var peersErr, sizesErr error
	if len(installation.Gossip.Peers) > 0 && deployment.settings["bounds.peers"] != "true" {
		peersErr = errPeersForbidden
	}
	weightKind := deployment.settings["weightKind"]
	usesSizes := weightKind == "nominal" || weightKind == "rough" || installation.Shadow.Settings["weightKind"] != ""
	if len(installation.Sizes) > 0 && !usesSizes {
		sizesErr = fmt.Errorf("installation: sizes: setting weightKind is %q, wanted nominal or rough", weightKind)
	}
	return errors.Join(peersErr, sizesErr)
}

var errPeersForbidden = errors.New(
	"installation: peers.others: setting bounds.peers allows no messages between co-ordinators")

// schedulerConfigs returns the scheduler's configuration, and the one for shadow evaluation if the installation file
// asks for that; otherwise shadow is nil.
func (deployment *Deployment) schedulerConfigs() (effective scheduler.Config, shadow *scheduler.Config, err error) {
	installation := deployment.Installation
	if installation == nil {
		installation = &config.Config{}
	}
	settings := deployment.supportedSettings(len(installation.Gossip.Peers) > 0)
	effective, err = scheduler.ParseConfig(settings)
	if err != nil {
		return effective, nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if len(installation.Shadow.Settings) == 0 {
		return effective, nil, nil
	}
	maps.Copy(settings, installation.Shadow.Settings)
	shadowConfig, err := scheduler.ParseConfig(settings)
	if err != nil {
		return effective, nil, fmt.Errorf("installation: watch.settings: %w", err)
	}
	return effective, &shadowConfig, nil
}

// supportedSettings returns the settings with unsupported ones replaced by their effective values. Valid settings
// from another deployment must not keep this process from starting.
func (deployment *Deployment) supportedSettings(hasPeers bool) map[string]string {
	settings := maps.Clone(deployment.settings)
	maps.Copy(settings, deployment.unsupportedSettings(hasPeers))
	return settings
}

// unsupportedSettings returns the settings that cannot be applied, with the values that are effective instead: gossip
// if no peers are named, and second steps (a class's second round of subqueries), which the client protocol lacks.
func (deployment *Deployment) unsupportedSettings(hasPeers bool) map[string]string {
	effective := map[string]string{}
	if deployment.settings["bounds.peers"] == "true" && !hasPeers {
		effective["bounds.peers"] = "false"
	}
	if !isZero(deployment.settings["familyInfo.classFetch"]) {
		effective["familyInfo.classFetch"] = "0"
	}
	return effective
}
