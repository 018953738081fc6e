package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"

	"terntray/twophase"
)

// The wire of two-phase queries, as docs/phases.md states it. What a replica is asked stands in a line before the
// query's text; what it answers is the value of its reply. Both are JSON; what they hold beyond what is known is
// an error.

const maxCount = 100_000 // hits that a replica may say it has; more is no count

// Errors of what a replica answers.
var (
	errNoSummary    = errors.New("no version, or no count")
	errTrailingData = errors.New("more behind it")
)

// CanMatchRequest is the text of the subquery that asks for a shard's summary.
func CanMatchRequest(query *TwoPhaseQuery, text []byte) []byte {
	return withPhase(phaseRequest{Phase: phaseCanMatch, Limit: query.Limit}, text)
}

// FetchRequest is the text of the subquery that asks for a shard's hits; the version is that of the summary that
// was used, empty if none was.
func FetchRequest(query *TwoPhaseQuery, version twophase.Version, text []byte) []byte {
	return withPhase(phaseRequest{Phase: phaseFetch, Limit: query.Limit, Version: string(version)}, text)
}

func withPhase(request phaseRequest, text []byte) []byte {
	line, _ := json.Marshal(request) // strings and numbers always encode
	line = append(line, '\n')
	return append(line, text...)
}

// ReadSummary reads a replica's summary; what cannot be used is an error.
func ReadSummary(value []byte) (twophase.Summary, error) {
	var body summaryBody
	if err := decodeStrictly(value, &body); err != nil {
		return twophase.Summary{}, err
	}
	hasCount := body.Count != nil && *body.Count >= 0 && *body.Count <= maxCount
	if body.Version == "" || !hasCount {
		return twophase.Summary{}, errNoSummary
	}
	summary := twophase.Summary{
		Version: twophase.Version(body.Version),
		Count:   *body.Count,
		Upper:   math.Inf(1),
		Lower:   math.Inf(-1),
	}
	if body.Upper != nil {
		summary.Upper = *body.Upper
	}
	if body.Lower != nil {
		summary.Lower = *body.Lower
	}
	return summary, nil
}

// ReadAnswer reads a replica's hits.
func ReadAnswer(shard int, value []byte) (twophase.Answer, error) {
	var body answerBody
	if err := decodeStrictly(value, &body); err != nil {
		return twophase.Answer{}, err
	}
	answer := twophase.Answer{Version: twophase.Version(body.Version)}
	for _, hit := range body.Hits {
		answer.Hits = append(answer.Hits, twophase.Hit{Shard: twophase.Shard(shard), ID: hit.ID, Score: hit.Score})
	}
	return answer, nil
}

func decodeStrictly(value []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}
