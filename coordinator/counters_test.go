package coordinator

import (
	"strings"
	"testing"

	"terntray/invariant"
)

// Operators' dashboards read the counters by their keys. After a rename or reordering they would show counters that no
// longer change.
func TestCountersKeepTheirKeys(t *testing.T) {
	const want = "taken fulfilled partial turned_back full expired scrapped left open held_back bad " +
		"legs retries hedges violations " +
		"withheld_deadline_passed withheld_client_gone withheld_query_closed withheld_endpoint_draining withheld_endpoint_removed " +
		"withheld_may_have_run withheld_attempt_running withheld_key_expired withheld_too_many_attempts withheld_answered withheld_not_answered " +
		"legs_ok legs_erred legs_turned_away legs_timed_out legs_unreachable legs_reset legs_cancelled legs_moot legs_spoilt " +
		"late unconfirmed opened refused dropped spoilt silent goes_away limit_reached tls_failed certificates_running_out " +
		"lists list_failures broken reloads questions two_phases pruned bad_summaries refused_questions peer_messages bad_peer_messages " +
		"closed_last_answer closed_by_client closed_unwritable closed_bad_request closed_slow_request closed_idle closed_evicted " +
		"closed_shutdown closed_broken " +
		"accepted evicted shed accept_failed busy share wall_clock_distrusted"
	c := newCoordinator(t)
	c.counts.Refused[invariant.ClientGone] = 7
	var keys []string
	for _, pair := range strings.Fields(c.countersLine()) {
		key, value, _ := strings.Cut(pair, "=")
		keys = append(keys, key)
		wantValue := "0"
		switch key {
		case "withheld_client_gone":
			wantValue = "7"
		case "share":
			wantValue = "1.00"
		}
		if value != wantValue {
			t.Errorf("%s, want %s", pair, wantValue)
		}
	}
	if got := strings.Join(keys, " "); got != want {
		t.Errorf("%s\nwant %s", got, want)
	}
}
