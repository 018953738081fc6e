package scheduler

import (
	"errors"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"terntray/invariant"
)

// configOf parses settings that must be valid.
func configOf(t testing.TB, settings map[string]string) Config {
	t.Helper()
	config, err := ParseConfig(settings)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// fullSettings returns a value for every setting that a Scheduler reads.
func fullSettings() map[string]string {
	return map[string]string{
		"balancers": "3", "selfIndex": "2", "zone": "1", "discovery": "subscribe",
		"familyInfo.cells": "6", "familyInfo.span": "2", "familyInfo.classNeed": "1.0,0.8",
		"familyInfo.leastShare": "-,0.5", "familyInfo.classFetch": "0,2",
		"lanes.count":  "2",
		"lanes.0.name": "look", "lanes.0.aim": "2500000", "lanes.0.aimStretch": "0.5", "lanes.0.deadline": "6000000",
		"lanes.0.effect": "pure",
		"lanes.1.name":   "claim", "lanes.1.aim": "1500000", "lanes.1.deadline": "3000000", "lanes.1.effect": "token",
		"lanes.1.window": "400000",
		"orgs.count":     "2", "orgs.0.quotaPerS": "10", "orgs.1.quotaPerS": "0.5",
		"bounds.peers": "true", "bounds.maxAttempts": "3", "bounds.mayCancel": "true", "bounds.secondCopies": "true",
		"bounds.retryAfter": "true", "bounds.maxRetryAfter": "700000", "weightKind": "rough",
		"guarantees.askEvery": "20000000", "guarantees.tipMultiple": "3", "guarantees.startCapacity": "0.2",
		"guarantees.warmAfter": "8000000", "guarantees.overloadFor": "1500000", "guarantees.ratioSpan": "10000000",
		"guarantees.extraRatio": "0.1", "guarantees.minExtra": "5", "tariffs.crossZone": "0.25", "tariffs.waste": "0.01",
	}
}

func TestParseConfigReadsEverySetting(t *testing.T) {
	want := Config{
		Coordinators: 3, SelfIndex: 2, Zone: 1, Discovery: DiscoverySubscribe, PollInterval: 20 * time.Second,
		Cells: 6, CellsPerShard: 2,
		Classes: []ClassConfig{
			{Name: "look", Objective: 2500 * time.Millisecond, ObjectivePerHint: 0.5, Deadline: 6 * time.Second,
				Effect: invariant.Idempotent, CompleteShare: 1, MinimumShare: 1},
			{Name: "claim", Objective: 1500 * time.Millisecond, Deadline: 3 * time.Second, Effect: invariant.Keyed,
				KeyWindow: 400 * time.Millisecond, CompleteShare: 0.8, MinimumShare: 0.5, FetchSubqueries: 2},
		},
		TenantQuotas: []float64{10, 0.5}, Gossip: true, ListedSizes: true, MaxAttempts: 3, CancelAllowed: true,
		HedgeAllowed: true, MaxRetryAfter: 700 * time.Millisecond,
		SlowStart: SlowStartConfig{OverloadMultiple: 3, StartCapacity: 0.2, WarmAfter: 8 * time.Second,
			OverloadFor: 1500 * time.Millisecond},
		RetryBudget:    &RetryBudgetConfig{Span: 10 * time.Second, Share: 0.1, MinRetries: 5},
		CrossZonePrice: 0.25, WastePrice: 0.01,
	}
	if got := configOf(t, fullSettings()); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// A deployment may omit these settings; the defaults apply.
func TestParseConfigDefaults(t *testing.T) {
	settings := fullSettings()
	for _, key := range []string{
		"selfIndex", "zone", "familyInfo.classNeed", "familyInfo.leastShare", "familyInfo.classFetch",
		"lanes.0.name", "lanes.0.aimStretch", "lanes.1.window", "orgs.count", "bounds.peers", "bounds.maxAttempts",
		"bounds.mayCancel", "bounds.secondCopies", "bounds.retryAfter", "weightKind", "guarantees.askEvery",
		"guarantees.tipMultiple", "guarantees.startCapacity", "guarantees.warmAfter", "guarantees.overloadFor",
		"guarantees.ratioSpan", "guarantees.extraRatio", "guarantees.minExtra", "tariffs.crossZone", "tariffs.waste",
	} {
		delete(settings, key)
	}
	got := configOf(t, settings)
	want := Config{Coordinators: 3, Cells: 6, CellsPerShard: 2, Discovery: DiscoverySubscribe, Classes: []ClassConfig{
		{Objective: 2500 * time.Millisecond, Deadline: 6 * time.Second, CompleteShare: 1, MinimumShare: 1},
		{Name: "claim", Objective: 1500 * time.Millisecond, Deadline: 3 * time.Second, Effect: invariant.Keyed,
			CompleteShare: 1, MinimumShare: 1},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if derived := newParameters(&got); derived.maxAttempts <= 1<<30 || derived.retryBudgetSpan != 0 {
		t.Errorf("attempts are limited without a setting: %+v", derived)
	}
}

func TestParseConfigRejectsInvalidSettings(t *testing.T) {
	for _, test := range []struct{ key, value, wanted string }{
		{"balancers", "", wantedAtLeastOne},
		{"balancers", "0", wantedAtLeastOne},
		{"balancers", "-2", wantedAtLeastOne},
		{"balancers", "many", wantedNumber},
		{"balancers", "Inf", wantedNumber},
		{"selfIndex", "first", wantedNumber},
		{"zone", "west", wantedNumber},
		{"discovery", "", wantedDiscovery},
		{"discovery", "now", wantedDiscovery},
		{"familyInfo.cells", "", wantedAtLeastOne},
		{"familyInfo.cells", "-1", wantedAtLeastOne},
		{"familyInfo.span", "0", wantedAtLeastOne},
		{"familyInfo.classNeed", "1.0,most", wantedNumber},
		{"familyInfo.leastShare", "NaN", wantedNumber},
		{"familyInfo.classFetch", "no", wantedNumber},
		{"lanes.count", "", wantedAtLeastOne},
		{"lanes.count", "-", wantedAtLeastOne},
		{"lanes.0.aim", "", wantedAboveZero},
		{"lanes.1.aim", "0", wantedAboveZero},
		{"lanes.1.aimStretch", "x", wantedNumber},
		{"lanes.1.deadline", "-3", wantedAboveZero},
		{"lanes.1.deadline", "1e16", wantedDuration},
		{"lanes.1.window", "soon", wantedNumber},
		{"lanes.1.effect", "", wantedEffect},
		{"lanes.0.effect", "magic", wantedEffect},
		{"orgs.count", "few", wantedNumber},
		{"orgs.1.quotaPerS", "all", wantedNumber},
		{"bounds.maxAttempts", "any", wantedNumber},
		{"bounds.maxRetryAfter", "later", wantedNumber},
		{"guarantees.askEvery", "often", wantedNumber},
		{"guarantees.tipMultiple", "thrice", wantedNumber},
		{"guarantees.startCapacity", "", wantedAboveZero},
		{"guarantees.warmAfter", "0", wantedAboveZero},
		{"guarantees.overloadFor", "", wantedAboveZero},
		{"guarantees.ratioSpan", "", wantedAboveZero},
		{"guarantees.extraRatio", "-", wantedAboveZero},
		{"guarantees.minExtra", "+", wantedNumber},
		{"tariffs.crossZone", "dear", wantedNumber},
		{"tariffs.waste", "1e999", wantedNumber},
	} {
		settings := fullSettings()
		settings[test.key] = test.value
		found := "nothing"
		if test.value != "" {
			found = `"` + test.value + `"`
		}
		var got *SettingError
		want := SettingError{Key: test.key, Found: found, Wanted: test.wanted}
		if _, err := ParseConfig(settings); !errors.As(err, &got) || *got != want {
			t.Errorf("%s=%s: %v, want %v", test.key, test.value, err, &want)
		}
	}
}

// Settings that only apply together with others may be omitted without them, but if present they must be readable.
func TestParseConfigRejectsUnreadableUnusedSettings(t *testing.T) {
	for _, test := range []struct{ without, key string }{
		{"guarantees.tipMultiple", "guarantees.startCapacity"},
		{"guarantees.tipMultiple", "guarantees.warmAfter"},
		{"guarantees.ratioSpan,guarantees.extraRatio", "guarantees.minExtra"},
	} {
		settings := fullSettings()
		for without := range strings.SplitSeq(test.without, ",") {
			delete(settings, without)
		}
		missing := maps.Clone(settings)
		delete(missing, test.key)
		if _, err := ParseConfig(missing); err != nil {
			t.Errorf("without %s and %s: %v", test.without, test.key, err)
		}
		settings[test.key] = "x"
		if _, err := ParseConfig(settings); err == nil || !strings.Contains(err.Error(), test.key) {
			t.Errorf("without %s, unreadable %s: %v", test.without, test.key, err)
		}
	}
}

// New also validates a configuration built in code.
func TestNewRejectsInvalidConfig(t *testing.T) {
	for key, invalidate := range map[string]func(*Config){
		"balancers":             func(c *Config) { c.Coordinators = 0 },
		"familyInfo.cells":      func(c *Config) { c.Cells = 0 },
		"familyInfo.span":       func(c *Config) { c.CellsPerShard = 0 },
		"lanes.count":           func(c *Config) { c.Classes = nil },
		"lanes.1.aim":           func(c *Config) { c.Classes[1].Objective = 0 },
		"lanes.0.deadline":      func(c *Config) { c.Classes[0].Deadline = -1 },
		"lanes.0.effect":        func(c *Config) { c.Classes[0].Effect = invariant.NonIdempotent + 1 },
		"guarantees.extraRatio": func(c *Config) { c.RetryBudget.Share = 0 },
		"discovery":             func(c *Config) { c.Discovery = 0 },
	} {
		config := configOf(t, fullSettings())
		invalidate(&config)
		var got *SettingError
		if _, err := New(nil, 1, config); !errors.As(err, &got) || got.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
}
