package scheduler

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"terntray/invariant"
)

// ParseConfig reads a Config from settings by path, in the form that the simulator and Flatten of package coordinator
// produce: the values of a list are separated by commas, and "-" or an empty string stands for an absent value. The
// error is a *SettingError for the first unusable setting. Unknown paths are ignored.
func ParseConfig(settings map[string]string) (Config, error) {
	reader := settingReader{settings: settings}
	config := Config{
		Coordinators:   reader.coordinators(),
		SelfIndex:      reader.integer("selfIndex"),
		Zone:           ZoneIndex(reader.integer("zone")),
		Cells:          reader.integer("familyInfo.cells"),
		CellsPerShard:  reader.integer("familyInfo.span"),
		Classes:        reader.classes(),
		TenantQuotas:   reader.tenantQuotas(),
		Discovery:      reader.discovery(),
		PollInterval:   reader.duration("guarantees.askEvery"),
		Gossip:         reader.boolean("bounds.peers"),
		ListedSizes:    settings["weightKind"] == "nominal" || settings["weightKind"] == "rough",
		MaxAttempts:    reader.integer("bounds.maxAttempts"),
		CancelAllowed:  reader.boolean("bounds.mayCancel"),
		HedgeAllowed:   reader.boolean("bounds.secondCopies"),
		MaxRetryAfter:  reader.maxRetryAfter(),
		SlowStart:      reader.slowStart(),
		RetryBudget:    reader.retryBudget(),
		CrossZonePrice: reader.number("tariffs.crossZone"),
		WastePrice:     reader.number("tariffs.waste"),
	}
	if reader.err != nil {
		return Config{}, reader.err
	}
	if err := config.Validate(); err != nil {
		var invalid *SettingError
		if errors.As(err, &invalid) {
			invalid.Found = reader.found(invalid.Key)
		}
		return Config{}, err
	}
	return config, nil
}

// maxDurationMicros is the longest accepted duration, 31 years. Longer ones would overflow when durations are
// multiplied.
const maxDurationMicros = 1e15

// absent stands for a missing value in a list.
const absent = "-"

// settingReader reads settings by path and keeps the first error.
type settingReader struct {
	settings map[string]string
	err      error
}

func (r *settingReader) fail(key, wanted string) {
	if r.err == nil {
		r.err = &SettingError{Key: key, Found: r.found(key), Wanted: wanted}
	}
}

// found returns a setting's value as errors show it.
func (r *settingReader) found(key string) string {
	if value := r.settings[key]; value != "" {
		return strconv.Quote(value)
	}
	return "nothing"
}

func (r *settingReader) boolean(key string) bool { return r.settings[key] == "true" }

// numberAt returns the number at an index of a list, or fallback if it is absent.
func (r *settingReader) numberAt(key string, index int, fallback float64) float64 {
	values := strings.Split(r.settings[key], ",")
	if index >= len(values) || values[index] == "" || values[index] == absent {
		return fallback
	}
	number, err := strconv.ParseFloat(values[index], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.fail(key, wantedNumber)
	}
	return number
}

// number returns a single number, or 0 if it is absent.
func (r *settingReader) number(key string) float64 { return r.numberAt(key, 0, 0) }

// integer returns a number truncated to an integer.
func (r *settingReader) integer(key string) int { return int(r.number(key)) }

// duration returns a duration that is set in microseconds.
func (r *settingReader) duration(key string) time.Duration {
	microseconds := r.number(key)
	if microseconds > maxDurationMicros {
		r.fail(key, wantedDuration)
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}

// coordinators returns the number of co-ordinators. Capacity planning may set a fraction: it is truncated, but a number
// above 0 counts as at least 1.
func (r *settingReader) coordinators() int {
	number := r.number("balancers")
	if number <= 0 {
		return 0
	}
	return max(1, int(number))
}

func (r *settingReader) classes() []ClassConfig {
	var classes []ClassConfig
	count := r.integer("lanes.count")
	for n := 0; n < count && r.err == nil; n++ {
		classes = append(classes, r.class(n))
	}
	return classes
}

func (r *settingReader) class(index int) ClassConfig {
	class := ClassConfig{
		Name:             r.settings[classKey(index, "name")],
		Objective:        r.duration(classKey(index, "aim")),
		ObjectivePerHint: r.number(classKey(index, "aimStretch")),
		Deadline:         r.duration(classKey(index, "deadline")),
		Effect:           r.effect(classKey(index, "effect")),
		KeyWindow:        r.duration(classKey(index, "window")),
		CompleteShare:    r.numberAt("familyInfo.classNeed", index, 1),
		FetchSubqueries:  int(r.numberAt("familyInfo.classFetch", index, 0)),
	}
	class.MinimumShare = min(class.CompleteShare, r.numberAt("familyInfo.leastShare", index, class.CompleteShare))
	return class
}

// effects maps the settings' values to effects.
var effects = map[string]invariant.Effect{
	"pure":        invariant.Idempotent,
	"token":       invariant.Keyed,
	"side_effect": invariant.NonIdempotent,
}

const unknownEffect invariant.Effect = -1 // rejected by Validate

func (r *settingReader) effect(key string) invariant.Effect {
	if effect, known := effects[r.settings[key]]; known {
		return effect
	}
	return unknownEffect
}

// discovery returns the discovery mode, or 0 for an unknown value, which Validate rejects.
func (r *settingReader) discovery() DiscoveryMode {
	switch r.settings["discovery"] {
	case "automatic":
		return DiscoveryAutomatic
	case "subscribe":
		return DiscoverySubscribe
	}
	return 0
}

func (r *settingReader) tenantQuotas() []float64 {
	var quotas []float64
	count := r.integer("orgs.count")
	for n := 0; n < count && r.err == nil; n++ {
		quotas = append(quotas, r.number(fmt.Sprintf("orgs.%d.quotaPerS", n)))
	}
	return quotas
}

func (r *settingReader) maxRetryAfter() time.Duration {
	if !r.boolean("bounds.retryAfter") {
		return 0
	}
	return r.duration("bounds.maxRetryAfter")
}

func (r *settingReader) slowStart() SlowStartConfig {
	return SlowStartConfig{
		OverloadMultiple: r.number("guarantees.tipMultiple"),
		StartCapacity:    r.number("guarantees.startCapacity"),
		WarmAfter:        r.duration("guarantees.warmAfter"),
		OverloadFor:      r.duration("guarantees.overloadFor"),
	}
}

// retryBudget returns nil if neither the span nor the share is set. Even then all three values must be readable.
func (r *settingReader) retryBudget() *RetryBudgetConfig {
	const span, share = "guarantees.ratioSpan", "guarantees.extraRatio"
	budget := &RetryBudgetConfig{
		Span:       r.duration(span),
		Share:      r.number(share),
		MinRetries: r.number("guarantees.minExtra"),
	}
	if r.settings[span] == "" && r.settings[share] == "" {
		return nil
	}
	return budget
}
