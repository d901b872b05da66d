// Package refuser holds the numbered result codes and the refusals that carry
// them to callers.
package refuser

import (
	"net/http"
)

//go:generate stringer -type=Code,Ran -linecomment -output=code_string.go

// Ran says whether the refused request was executed.
type Ran int

// Values of Ran.
const (
	// Never guarantees that the request was not and will not be executed.
	Never Ran = iota // never
	// Maybe means that it is unknown whether the request was executed.
	Maybe // maybe
	// Done means that the request was executed, although the answer is incomplete.
	Done // done
)

// MarshalText writes the value's name.
func (r Ran) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// Code is a numbered result code.
type Code int

// Codes of malformed requests.
const (
	BadJSON          Code = iota + 1001 // bad_json
	BadRequest                          // bad_request
	BodyTooLarge                        // body_too_large
	NoSuchPath                          // no_such_path
	MethodNotAllowed                    // method_not_allowed
	BadKey                              // bad_idempotency_key
	KeyReused                           // key_reused
	BadTemplate                         // bad_template
	NoSuchRequest                       // no_such_request
	HeaderTooLarge                      // header_too_large
)

// Codes of authentication and of names that don't exist.
const (
	NoCredential    Code = iota + 2001 // no_credential
	WrongCredential                    // wrong_credential
	NoSuchModel                        // no_such_model
	NoSuchService                      // no_such_service
	NoSuchOrg                          // no_such_organisation
	NoSuchNode                         // no_such_node
	UnknownKey                         // unknown_key
)

// Codes of limits and overload.
const (
	OverShare        Code = iota + 3001 // over_share
	QueueTooLong                        // queue_too_long
	DeadlineTooClose                    // deadline_too_close
	RetryBudgetSpent                    // retry_budget_spent
	TooManyRequests                     // too_many_requests
	NoRoom                              // no_room
)

// Codes of non-idempotent requests.
const (
	InProgress        Code = iota + 4001 // in_progress
	OutcomeUnknown                       // outcome_unknown
	KeyExpired                           // key_expired
	KeyFromFuture                        // key_from_future
	LedgerUnavailable                    // ledger_unavailable
	LedgerCatchUp                        // ledger_catching_up
	Superseded                           // superseded
	AnswerTooLarge                       // answer_too_large
)

// Codes of endpoints and pipelines.
const (
	NoPipeline         Code = iota + 5001 // no_pipeline
	NoEndpoint                            // no_endpoint
	EndpointFailed                        // endpoint_failed
	DeadlinePassed                        // deadline_passed
	CallerLeft                            // caller_left
	StreamBroken                          // stream_broken
	AnswerOutdated                        // answer_outdated
	PartQuarantined                       // part_quarantined
	EndpointLimit                         // endpoint_limit
	RequestQuarantined                    // request_quarantined
)

// Codes of configuration.
const (
	Conflict       Code = iota + 6001 // conflict
	LogUnavailable                    // log_unavailable
	NotCaughtUp                       // not_caught_up
)

// Codes of the node itself.
const (
	Leaving       Code = iota + 7001 // leaving
	NodeOverload                     // node_overload
	InternalError                    // internal_error
)

// Row describes a code; the table in docs/CODES.md has one line for each.
type Row struct {
	Code Code
	// Status is the HTTP status sent with the code.
	Status int
	// Retry says whether sending the same request again may help.
	Retry bool
	// Title is a one-sentence description for people.
	Title string
	// Advice tells a caller or operator what to do.
	Advice string
}

// Table returns the rows of all codes, each once, in order.
func Table() []Row {
	return table
}

// Lookup returns the row of a code, or that of InternalError if the code is unknown.
func Lookup(code Code) Row {
	if row, ok := byCode[code]; ok {
		return row
	}
	return byCode[InternalError]
}

var byCode = func() map[Code]Row {
	rows := make(map[Code]Row, len(table))
	for _, row := range table {
		rows[row.Code] = row
	}
	return rows
}()

var table = []Row{
	{BadJSON, http.StatusBadRequest, false, "The body is not valid JSON.", "Correct the body."},
	{BadRequest, http.StatusBadRequest, false, "A field is missing or out of range.", "Correct the field named in the detail."},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, false, "The body is larger than the limit.", "Send less."},
	{NoSuchPath, http.StatusNotFound, false, "There is no such path.", "Check the path."},
	{MethodNotAllowed, http.StatusMethodNotAllowed, false, "The path does not take this method.", "Check the method."},
	{BadKey, http.StatusBadRequest, false, "The Idempotency-Key or its issue time is malformed.", "Use a UUID of version 7, or add Idempotency-Issued."},
	{KeyReused, http.StatusUnprocessableEntity, false, "The key was used for a different request.", "Use a new key for a new request."},
	{BadTemplate, http.StatusUnprocessableEntity, false, "The template has faults.", "Correct every fault listed."},
	{NoSuchRequest, http.StatusNotFound, false, "The node knows no such request or key.", "Check the identifier and ask within its horizon."},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, false, "The request's header is larger than the limit.", "Send fewer or shorter headers."},
	{NoCredential, http.StatusUnauthorized, false, "The request carries no API key.", "Send Authorization: Bearer KEY."},
	{WrongCredential, http.StatusForbidden, false, "The API key is not known.", "Check the key with an operator."},
	{NoSuchModel, http.StatusNotFound, false, "The organisation's template does not offer this model.", "Omit the model or name one that the template offers."},
	{NoSuchService, http.StatusNotFound, false, "The organisation's template does not offer this service.", "Ask an operator to add a route."},
	{NoSuchOrg, http.StatusNotFound, false, "There is no such organisation.", "Check the name with banyanquay orgs."},
	{NoSuchNode, http.StatusNotFound, false, "There is no such node.", "Check the address with banyanquay nodes."},
	{UnknownKey, http.StatusUnauthorized, false, "The API key is not in the configuration in force.", "Check the key with an operator."},
	{OverShare, http.StatusTooManyRequests, true, "The organisation has used its share and can't borrow any.", "Retry after the time in Retry-After."},
	{QueueTooLong, http.StatusTooManyRequests, true, "The queue is longer than the request could wait.", "Retry after the time in Retry-After."},
	{DeadlineTooClose, http.StatusServiceUnavailable, true, "The request can't be completed before its deadline.", "Allow more time or retry later."},
	{RetryBudgetSpent, http.StatusServiceUnavailable, true, "Too many retries are in progress.", "Retry after the time in Retry-After."},
	{TooManyRequests, http.StatusTooManyRequests, true, "The caller has too many requests open.", "Wait for some to end."},
	{NoRoom, http.StatusServiceUnavailable, true, "The service has no capacity left for requests of this priority.", "Retry after the time in Retry-After."},
	{InProgress, http.StatusConflict, true, "A request with this key is running.", "Retry with the same key after the time in Retry-After."},
	{OutcomeUnknown, http.StatusBadGateway, false, "The request was sent and its outcome is not known.", "Check with the service before sending the request with a new key."},
	{KeyExpired, http.StatusConflict, false, "The key is older than the period for which the node knows whether requests ran.", "Check with the service before sending the request with a new key."},
	{KeyFromFuture, http.StatusBadRequest, true, "The key's issue time is in the future.", "Set the caller's clock."},
	{LedgerUnavailable, http.StatusServiceUnavailable, true, "The log that records non-idempotent requests is unreachable.", "Retry with the same key after the time in Retry-After."},
	{LedgerCatchUp, http.StatusServiceUnavailable, true, "The node has not yet read the ledger.", "Try another address with the same key."},
	{Superseded, http.StatusConflict, true, "A later attempt with the same key was refused first.", "Retry with the same key."},
	{AnswerTooLarge, http.StatusBadGateway, false, "The request ran but its answer is too large to record.", "Ask the service for the result."},
	{NoPipeline, http.StatusServiceUnavailable, true, "No set of endpoints covers every layer of the model.", "Retry after the time in Retry-After."},
	{NoEndpoint, http.StatusServiceUnavailable, true, "No endpoint offers the service.", "Retry after the time in Retry-After."},
	{EndpointFailed, http.StatusBadGateway, true, "Endpoints failed more often than the retry limit allows.", "Retry after the time in Retry-After."},
	{DeadlinePassed, http.StatusGatewayTimeout, true, "The deadline passed before the answer was complete.", "Allow more time."},
	{CallerLeft, 499, true, "The caller closed its connection.", "Nothing."},
	{StreamBroken, http.StatusBadGateway, true, "The stream ended without its end marker.", "Resume after the last token received."},
	{AnswerOutdated, http.StatusConflict, false, "The model, version or adapter that generated the received tokens is no longer served.", "Send the request again without received."},
	{PartQuarantined, http.StatusServiceUnavailable, true, "Engines crashed under requests with a part of this prompt.", "Leave the part out, or retry after the time in Retry-After."},
	{EndpointLimit, http.StatusServiceUnavailable, true, "The endpoints that could serve the request take no more requests now.", "Retry after the time in Retry-After."},
	{RequestQuarantined, http.StatusServiceUnavailable, true, "Endpoints crashed under this request.", "Change the request, or retry after the time in Retry-After."},
	{Conflict, http.StatusPreconditionFailed, true, "Another change of the organisation was accepted first.", "Read the current revision and apply the change to it."},
	{LogUnavailable, http.StatusServiceUnavailable, true, "The platform's log is unreachable.", "Retry after the time in Retry-After."},
	{NotCaughtUp, http.StatusServiceUnavailable, true, "The node does not yet know the configuration and the endpoints.", "Try another address."},
	{Leaving, http.StatusServiceUnavailable, true, "The node is leaving.", "Use one of the addresses given."},
	{NodeOverload, http.StatusServiceUnavailable, true, "The node is at its capacity limit.", "Use one of the addresses given, or retry after the time in Retry-After."},
	{InternalError, http.StatusInternalServerError, true, "The node failed.", "Report the request identifier."},
}
