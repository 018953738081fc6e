package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"

	"terntray/twophase"
)

// The protocol of two-phase queries (docs/phases.md): a request is a line of JSON before the query's text, and the
// value of a reply is JSON, in which unknown fields are errors.

const maxCount = 100_000 // largest number of hits that a summary may state

// Errors of malformed replies.
var (
	errInvalidSummary = errors.New("summary has no version or no valid count")
	errTrailingData   = errors.New("trailing data after the JSON value")
)

// CanMatchRequest returns the text of the subquery that requests a shard's summary.
func CanMatchRequest(query *TwoPhaseQuery, text []byte) []byte {
	return prependPhase(phaseRequest{Phase: phaseCanMatch, Limit: query.Limit}, text)
}

// FetchRequest returns the text of the subquery that requests a shard's hits. version is that of the summary that the
// decision to fetch was based on; empty if there was none.
func FetchRequest(query *TwoPhaseQuery, version twophase.Version, text []byte) []byte {
	return prependPhase(phaseRequest{Phase: phaseFetch, Limit: query.Limit, Version: string(version)}, text)
}

func prependPhase(request phaseRequest, text []byte) []byte {
	line, _ := json.Marshal(request) // cannot fail for strings and integers
	line = append(line, '\n')
	return append(line, text...)
}

// ReadSummary decodes and validates a replica's summary. Bounds that are absent become infinite.
func ReadSummary(value []byte) (twophase.Summary, error) {
	var body summaryBody
	if err := decodeStrictly(value, &body); err != nil {
		return twophase.Summary{}, err
	}
	hasCount := body.Count != nil && *body.Count >= 0 && *body.Count <= maxCount
	if body.Version == "" || !hasCount {
		return twophase.Summary{}, errInvalidSummary
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

// ReadAnswer decodes a replica's hits.
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
