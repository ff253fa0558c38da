package cmd

import (
	"fmt"
	"strings"
)

// messageCallCut is the message of a node that cut a call of another node when it stopped.
const messageCallCut = "call cut at the end of the stop"

// Values of the field reason of messageCut; with others, an endpoint had the request.
const (
	reasonBody   = "body"
	reasonUnsent = "unsent"
	reasonAnswer = "answer"
)

// summarizeCut returns one sentence on a request that was cut by the stop of the node that received it.
func summarizeCut(c *logLine, about []logLine) string {
	text := fmt.Sprintf("the stop of node %s cut the request after %s; it was begun %s", c.node, c.field("cut"), sinceStop(c.field("began")))
	body := "its body was not complete in memory"
	if at := c.field("body"); at != "" {
		body = "its body was complete " + sinceStop(at)
	}
	switch c.field("reason") {
	case reasonBody, reasonUnsent:
		return text + ", " + body + " and it was not sent, so this attempt was not run"
	}
	text += fmt.Sprintf(", %s, and attempt %v was sent to endpoint %s at host %s %s, with %s left", body, c.fields["attempts"], c.field("endpoint"),
		c.field("host"), sinceStop(c.field("sent")), c.field("left"))
	if c.field("reason") == reasonAnswer {
		return text + "; its answer had begun"
	}
	return text + "; " + cutOutcome(c, about)
}

// cutOutcome says whether a request without an answer was run, by the line of the endpoint's node.
func cutOutcome(c *logLine, about []logLine) string {
	for _, l := range about {
		if l.message != messageEnded || l.field("call") != c.field("call") || l.field("endpoint") != c.field("endpoint") {
			continue
		}
		if l.field("outcome") == "notrun" {
			return fmt.Sprintf("this attempt was not run: it waited at node %s for %s", l.node, l.field("waited"))
		}
		return fmt.Sprintf("it may have run: node %s had held it for %s, of which it waited %s", l.node, l.field("took"), l.field("waited"))
	}
	return "it may have run"
}

// summarizeCallCut returns what to add to the summary of a failed request if the stop of the endpoint's node cut its last attempt.
func summarizeCallCut(f *logLine, about []logLine) string {
	for _, l := range about {
		if l.message != messageCallCut || l.field("call") != f.field("call") || l.field("endpoint") != f.field("endpoint") {
			continue
		}
		sent := "was waiting for a slot there"
		if at := l.field("sent"); at != "" {
			sent = fmt.Sprintf("was sent to the backend server %s, with %s left", sinceStop(at), l.field("left"))
		}
		return fmt.Sprintf("; the stop of node %s, the host of the endpoint, cut the call after %s: it arrived there %s and %s",
			l.node, l.field("cut"), sinceStop(l.field("began")), sent)
	}
	return ""
}

// sinceStop returns a time relative to the beginning of a stop as text.
func sinceStop(value string) string {
	if before, ok := strings.CutPrefix(value, "-"); ok {
		return before + " before the stop"
	}
	return value + " into the stop"
}
