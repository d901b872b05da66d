package supervisor

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/standin/archiver"
	"banyanquay/internal/standin/booker"
	"banyanquay/internal/standin/generator"
)

const (
	secretPrompt = "whisper-of-the-caller"
	secretOrder  = "idem-1f6d"
	wrongKey     = "unknown-key-77"
)

// restartObserved restarts node i and returns its new log and counters.
func (f *fleet) restartObserved(i int) (*observer.ObservedLogs, *counter.Set) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), readyTimeout)
	defer cancel()
	if err := f.apps[i].Stop(ctx); err != nil {
		f.t.Fatal(err)
	}
	core, logs := observer.New(zapcore.DebugLevel)
	counters := counter.New()
	app := New(Config{Settings: f.settings[i], Logger: zap.New(core), Counters: counters})
	if err := app.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = app.Stop(context.Background()) })
	f.await("the node to answer again", func() bool { return f.chat(f.nodes[i]).status == http.StatusOK })
	return logs, counters
}

// sendEveryKind sends requests of every kind, valid, refused, malformed and failing,
// and returns the replies.
func (f *fleet) sendEveryKind(node string) []reply {
	prompt := `{"messages":[{"role":"user","content":"` + secretPrompt + `"}],"max_tokens":2}`
	order := "/v1/services/orders/orders"
	var replies []reply
	send := func(key, method, path, body string, header ...string) {
		h := http.Header{"Authorization": {"Bearer " + key}, "Banyanquay-Secret": {fleetSecret}}
		for i := 0; i < len(header); i += 2 {
			h.Set(header[i], header[i+1])
		}
		replies = append(replies, f.send(node, method, path, body, h))
	}
	chat := func(body string, header ...string) {
		send(callerKey, http.MethodPost, "/v1/chat/completions", body, header...)
	}
	round := func(number string) {
		chat(prompt)
		send(callerKey, http.MethodPost, order, prompt, "Idempotency-Key", secretOrder+number, "Idempotency-Attempt", "1")
		send(callerKey, http.MethodGet, "/v1/keys/"+secretOrder+number, "")
	}
	round("good")
	chat(prompt[1:])
	chat(prompt + prompt)
	chat(strings.ReplaceAll(prompt, `"max_tokens":2`, `"max_tokens":"`+secretPrompt+`"`))
	chat(prompt, "X-Timeout-Seconds", "soon")
	chat(strings.Repeat(secretPrompt, 1<<16))
	for _, key := range []string{operatorKey, fleetSecret, wrongKey} {
		send(key, http.MethodPost, "/v1/chat/completions", prompt)
		send(key, http.MethodGet, "/v1/keys/"+secretOrder, "")
		send(key, http.MethodGet, "/v1/admin/organisations", "")
		send(key, http.MethodGet, "/v1/link", "")
	}
	send(callerKey, http.MethodGet, "/v1/keys/"+secretOrder+"none", "")
	send(callerKey, http.MethodPost, "/v1/keys/"+secretOrder, "")
	send(callerKey, http.MethodGet, "/v1/keys/"+secretOrder+"/more", "")
	send(callerKey, http.MethodPost, order, prompt, "Idempotency-Key", secretOrder+strings.Repeat("k", 300))
	send(callerKey, http.MethodPost, order, prompt, "Idempotency-Key", secretOrder, "Idempotency-Attempt", "x")
	send(operatorKey, http.MethodPut, "/v1/admin/organisations/desk", `{"name":"`+secretPrompt)
	f.sendDuringFailures(func(i int) { round(fmt.Sprint("failing", i)) })
	return replies
}

// sendDuringFailures calls send(1) while engines fail steps and the service loses
// replies, and send(2) while the engines may still fail and the log is unreachable.
func (f *fleet) sendDuringFailures(send func(i int)) {
	for _, g := range f.engines {
		g.Control().Update(func(s generator.Switches) generator.Switches { s.FailSteps = 2; return s })
	}
	f.service.Control().Update(func(s booker.Switches) booker.Switches { s.ReplyLost = true; return s })
	send(1)
	f.service.Control().Update(func(booker.Switches) booker.Switches { return booker.Switches{} })
	f.platform.Control().Update(func(s archiver.Switches) archiver.Switches {
		s.Outage, s.ReadOutage = archiver.OutageBefore, true
		return s
	})
	send(2)
	f.platform.Control().Update(func(archiver.Switches) archiver.Switches { return archiver.Switches{} })
}

func TestSecretsAreNeitherLoggedNorAnswered(t *testing.T) {
	f := newFleet(t, 2, describer.ChecksNothing)
	logs, counters := f.restartObserved(0)
	replies := f.sendEveryKind(f.nodes[0])
	vars := f.send(f.nodes[0], http.MethodGet, "/debug/vars", "", http.Header{"Authorization": {"Bearer " + operatorKey}})
	secrets := []string{
		callerKey, operatorKey, wrongKey, fleetSecret, secretPrompt,
		describer.HashKey(callerKey), describer.HashKey(operatorKey), describer.HashKey(wrongKey),
	}
	for _, r := range append(replies, vars) {
		checkNoSecrets(t, "an answer", r.body, secrets)
	}
	secrets = append(secrets, secretOrder)
	checkNoSecrets(t, "/debug/vars", vars.body+countersText(counters), secrets)
	enc := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "message"})
	seen := make(map[string]bool)
	for _, entry := range logs.All() {
		line, err := enc.EncodeEntry(entry.Entry, entry.Context)
		if err != nil {
			t.Fatal(err)
		}
		checkNoSecrets(t, "the log", line.String(), secrets)
		seen[entry.Message] = true
	}
	for _, want := range []string{"request ended", "request refused", "pipeline stage failed", "ledger stream unreachable"} {
		if !seen[want] {
			t.Errorf("got no event %q, so the test does not cover it", want)
		}
	}
}

// countersText returns the counters as expvar publishes them.
func countersText(set *counter.Set) string {
	var b strings.Builder
	v := reflect.ValueOf(*set)
	for i := range v.NumField() {
		b.WriteString(v.Field(i).Interface().(*expvar.Map).String())
	}
	return b.String()
}

// checkNoSecrets reports an error for each secret in a text.
func checkNoSecrets(t *testing.T, where, text string, secrets []string) {
	t.Helper()
	for _, secret := range secrets {
		if i := strings.Index(text, secret); i >= 0 {
			t.Errorf("%s has %q: got %s", where, secret, text[max(0, i-80):min(len(text), i+80)])
		}
	}
}
