package listener

import (
	"strings"

	"banyanquay/internal/describer"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
)

// systemFingerprint identifies what generates an answer: model, version and
// adapter. Every chunk carries it, so that a broken answer continues with the
// same model, version and adapter.
type systemFingerprint string

// fingerprintOf returns a model's system fingerprint.
func fingerprintOf(m describer.Model) systemFingerprint {
	return systemFingerprint(strings.Join([]string{m.Name, m.Version, m.Adapter}, fingerprintSeparator))
}

// fingerprintSeparator can't occur in the name of a model, version or adapter.
const fingerprintSeparator = "|"

// resumedModel returns the model that generated the tokens which the caller
// has: the template's model in its current or another version. An answer can't
// be continued from the tokens of another model or adapter.
func resumedModel(current describer.Model, fingerprint systemFingerprint) (describer.Model, error) {
	if fingerprint == "" {
		return current, refuser.New(refuser.BadRequest, "received requires the system_fingerprint of the chunks")
	}
	parts := strings.Split(string(fingerprint), fingerprintSeparator)
	if len(parts) != 3 || parts[0] != current.Name || parts[1] == "" || parts[2] != current.Adapter {
		return current, refuser.New(refuser.AnswerOutdated, "the received tokens are from %q, the current model is %q", fingerprint, fingerprintOf(current))
	}
	current.Version = parts[1]
	return current, nil
}

// asAnswerOutdated replaces the refusal of an answer that continues in another
// version than the current one, if no set of endpoints covers all its layers
// any more. The new refusal tells the caller to start again. Other errors are
// returned unchanged.
func asAnswerOutdated(chat dispatcher.Chat, err error) error {
	refusal := asRefusal(err)
	model, ok := chat.Organisation.Model(chat.Route.Model)
	if !ok || model.Version == chat.Route.Version || refusal.Code != refuser.NoPipeline {
		return err
	}
	outdated := refuser.New(refuser.AnswerOutdated, "version %s is no longer available: %s", chat.Route.Version, refusal.Detail).WithRan(refusal.Ran)
	outdated.Attempt = refusal.Attempt
	return outdated
}
