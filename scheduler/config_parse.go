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

// ParseConfig reads a Config from settings, each under its path, as the simulator and Flatten of package coordinator
// give them: values of a list stand side by side with commas, and "-" or nothing is a value that is not there. The
// error is a *SettingError of the first setting that cannot be used; settings of unknown paths mean nothing.
func ParseConfig(settings map[string]string) (Config, error) {
	reader := settingReader{settings: settings}
	config := Config{
		Coordinators:   reader.coordinators(),
		SelfIndex:      reader.whole("selfIndex"),
		Zone:           ZoneIndex(reader.whole("zone")),
		Cells:          reader.whole("familyInfo.cells"),
		CellsPerShard:  reader.whole("familyInfo.span"),
		Classes:        reader.classes(),
		TenantQuotas:   reader.tenantQuotas(),
		Discovery:      reader.discovery(),
		PollInterval:   reader.span("guarantees.askEvery"),
		Gossip:         reader.isTrue("bounds.peers"),
		ListedSizes:    settings["weightKind"] == "nominal" || settings["weightKind"] == "rough",
		MaxAttempts:    reader.whole("bounds.maxAttempts"),
		CancelAllowed:  reader.isTrue("bounds.mayCancel"),
		HedgeAllowed:   reader.isTrue("bounds.secondCopies"),
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

// maxSpan is the longest span that can be meant: 31 years. Longer ones would overflow where spans are multiplied.
const maxSpan = 1e15 // microseconds

// absent stands for a value that is not there.
const absent = "-"

// settingReader reads settings by path and keeps the first fault.
type settingReader struct {
	settings map[string]string
	err      error
}

func (r *settingReader) fail(key, wanted string) {
	if r.err == nil {
		r.err = &SettingError{Key: key, Found: r.found(key), Wanted: wanted}
	}
}

// found is a setting's value as an error shows it.
func (r *settingReader) found(key string) string {
	if value := r.settings[key]; value != "" {
		return strconv.Quote(value)
	}
	return "nothing"
}

func (r *settingReader) isTrue(key string) bool { return r.settings[key] == "true" }

// nth is one number of a list, otherwise if it is not there.
func (r *settingReader) nth(key string, n int, otherwise float64) float64 {
	values := strings.Split(r.settings[key], ",")
	if n >= len(values) || values[n] == "" || values[n] == absent {
		return otherwise
	}
	number, err := strconv.ParseFloat(values[n], 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.fail(key, wantedNumber)
	}
	return number
}

// number is a single number, 0 if it is not there.
func (r *settingReader) number(key string) float64 { return r.nth(key, 0, 0) }

// whole is a number without its fraction.
func (r *settingReader) whole(key string) int { return int(r.number(key)) }

// span is a number of microseconds.
func (r *settingReader) span(key string) time.Duration {
	microseconds := r.number(key)
	if microseconds > maxSpan {
		r.fail(key, wantedSpan)
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}

// coordinators is their number; a deployment is planned with fractions of one, and has at least one.
func (r *settingReader) coordinators() int {
	number := r.number("balancers")
	if number <= 0 {
		return 0
	}
	return max(1, int(number))
}

func (r *settingReader) classes() []ClassConfig {
	var classes []ClassConfig
	count := r.whole("lanes.count")
	for n := 0; n < count && r.err == nil; n++ {
		classes = append(classes, r.class(n))
	}
	return classes
}

func (r *settingReader) class(n int) ClassConfig {
	class := ClassConfig{
		Name:             r.settings[classKey(n, "name")],
		Objective:        r.span(classKey(n, "aim")),
		ObjectivePerHint: r.number(classKey(n, "aimStretch")),
		Deadline:         r.span(classKey(n, "deadline")),
		Effect:           r.effect(classKey(n, "effect")),
		KeyWindow:        r.span(classKey(n, "window")),
		CompleteShare:    r.nth("familyInfo.classNeed", n, 1),
		FetchSubqueries:  int(r.nth("familyInfo.classFetch", n, 0)),
	}
	class.MinimumShare = min(class.CompleteShare, r.nth("familyInfo.leastShare", n, class.CompleteShare))
	return class
}

// effects are the settings' words for what running a subquery twice would do.
var effects = map[string]invariant.Effect{
	"pure":        invariant.Idempotent,
	"token":       invariant.Keyed,
	"side_effect": invariant.NonIdempotent,
}

const unknownEffect invariant.Effect = -1 // refused by Validate

func (r *settingReader) effect(key string) invariant.Effect {
	if effect, known := effects[r.settings[key]]; known {
		return effect
	}
	return unknownEffect
}

// discovery is 0 where its word is not known, which Validate refuses.
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
	count := r.whole("orgs.count")
	for n := 0; n < count && r.err == nil; n++ {
		quotas = append(quotas, r.number(fmt.Sprintf("orgs.%d.quotaPerS", n)))
	}
	return quotas
}

func (r *settingReader) maxRetryAfter() time.Duration {
	if !r.isTrue("bounds.retryAfter") {
		return 0
	}
	return r.span("bounds.maxRetryAfter")
}

func (r *settingReader) slowStart() SlowStartConfig {
	return SlowStartConfig{
		OverloadMultiple: r.number("guarantees.tipMultiple"),
		StartCapacity:    r.number("guarantees.startCapacity"),
		WarmAfter:        r.span("guarantees.warmAfter"),
		OverloadFor:      r.span("guarantees.overloadFor"),
	}
}

// retryBudget is nil where neither its span nor its share is stated. What stands beside them must be readable all the
// same.
func (r *settingReader) retryBudget() *RetryBudgetConfig {
	const span, share = "guarantees.ratioSpan", "guarantees.extraRatio"
	budget := &RetryBudgetConfig{Span: r.span(span), Share: r.number(share), MinRetries: r.number("guarantees.minExtra")}
	if r.settings[span] == "" && r.settings[share] == "" {
		return nil
	}
	return budget
}
