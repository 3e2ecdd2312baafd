package ingress

import "net/http"

// refusalError is the reason for which a request is refused and never handed to the engine. Its connection is
// closed: where the framing is in doubt, the bytes that follow may be a part of the request or hide another one.
type refusalError int

// The refusals, in the order in which they are checked.
const (
	errRepeatedCorrelationID refusalError = iota
	errRepeatedTimeLeft
	errRepeatedTenant
	errRepeatedIdempotencyKey
	errTransferCoding
	errBodyTooLong
	errUnknownClass
	errWantsPOST
	errWantsGET
	errBodyOfGET
	errCorrelationID
	errUnknownTenant
	errTimeLeft
	errNoIdempotencyKey
	errMayHaveRun
	errCorrelationIDInUse
	refusalCount int = iota
)

// refusals gives the status code and the text that the client reads.
var refusals = [refusalCount]struct {
	status int
	text   string
}{
	errRepeatedCorrelationID:  {http.StatusBadRequest, headerCorrelationID + " more than once"},
	errRepeatedTimeLeft:       {http.StatusBadRequest, headerTimeLeft + " more than once"},
	errRepeatedTenant:         {http.StatusBadRequest, headerTenant + " more than once"},
	errRepeatedIdempotencyKey: {http.StatusBadRequest, headerIdempotencyKey + " more than once"},
	errTransferCoding:         {http.StatusLengthRequired, "no transfer coding is taken"},
	errBodyTooLong:            {http.StatusRequestEntityTooLarge, "body too long"},
	errUnknownClass:           {http.StatusNotFound, "no such path group"},
	errWantsPOST:              {http.StatusMethodNotAllowed, "this path group takes " + http.MethodPost},
	errWantsGET:               {http.StatusMethodNotAllowed, "this path group takes " + http.MethodGet},
	errBodyOfGET:              {http.StatusBadRequest, "a GET takes no body"},
	errCorrelationID:          {http.StatusBadRequest, headerCorrelationID + " is missing or too long"},
	errUnknownTenant:          {http.StatusBadRequest, "no such " + headerTenant},
	errTimeLeft:               {http.StatusBadRequest, headerTimeLeft + " is no time that a client waits"},
	errNoIdempotencyKey:       {http.StatusBadRequest, "no " + headerIdempotencyKey},
	errMayHaveRun:             {http.StatusInternalServerError, "it may have run"},
	errCorrelationIDInUse:     {http.StatusConflict, headerCorrelationID + " is that of an open request"},
}

// Error is the text of the response.
func (e refusalError) Error() string { return refusals[e].text }

// status is the status code of the response.
func (e refusalError) status() int { return refusals[e].status }
