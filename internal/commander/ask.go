package commander

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
)

// Paths of the API for callers.
const (
	addressesPath = "/v1/addresses"
	chatPath      = "/v1/chat/completions"
)

// maxAddresses limits how many nodes are tried for one request.
const maxAddresses = 16

// askCommand sends a chat request.
type askCommand struct {
	Prompt         string `arg:"positional,required" placeholder:"PROMPT" help:"the user's message"`
	Model          string `arg:"--model" help:"the model; the template's if left out"`
	System         string `arg:"--system" help:"a system message before the prompt"`
	MaxTokens      int    `arg:"--max-tokens" default:"256" help:"the most tokens to generate"`
	IdempotencyKey string `arg:"--idempotency-key" placeholder:"UUID" help:"a key (UUID version 7) for chat that must run at most once"`
}

func (*askCommand) examples() string {
	return `  BANYANQUAY_KEY=... banyanquay ask "Summarise the order of 12 crates"
  banyanquay --node http://10.0.0.7:8080 ask "Is tagliatelle in stock?" --max-tokens 64
`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string    `json:"model,omitempty"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// addressList is the response to GET /v1/addresses.
type addressList struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds int      `json:"ttl_seconds"`
}

// askOutput is the JSON output of ask.
type askOutput struct {
	Address string `json:"address"`
	Content string `json:"content"`
	// Chunks is the number of stream events with content.
	Chunks int `json:"chunks"`
}

func (c *askCommand) run(ctx context.Context, s session) error {
	list, err := call[addressList](ctx, s.client, request{method: http.MethodGet, path: addressesPath})
	if err != nil {
		return err
	}
	req, err := c.buildRequest()
	if err != nil {
		return err
	}
	resp, address, err := c.send(ctx, s, list.Addresses, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	out := askOutput{Address: address}
	err = readStream(resp.Body, func(text string) {
		out.Content += text
		out.Chunks++
		if !s.json {
			printf(s.cfg.Stdout, "%s", text)
		}
	})
	if !s.json {
		printf(s.cfg.Stdout, "\n")
	}
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(out)
	}
	return nil
}

func (c *askCommand) buildRequest() (request, error) {
	chat := chatRequest{Model: c.Model, MaxTokens: c.MaxTokens, Stream: true}
	if c.System != "" {
		chat.Messages = append(chat.Messages, message{Role: "system", Content: c.System})
	}
	chat.Messages = append(chat.Messages, message{Role: "user", Content: c.Prompt})
	body, err := encoder.JSON(chat)
	if err != nil {
		return request{}, trace.Wrap(err)
	}
	header := make(http.Header)
	header.Set("Content-Type", jsonType)
	if c.IdempotencyKey != "" {
		header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	return request{method: http.MethodPost, path: chatPath, header: header, body: body}, nil
}

// send tries the addresses in turn. It tries the next address only if the
// connection could not be made, or if a node guarantees that the request did not
// run there and should be sent to another node.
func (c *askCommand) send(ctx context.Context, s session, addresses []string, req request) (*http.Response, string, error) {
	var lastErr error = &unreachableError{tried: s.client.nodes, lastErr: errors.New("the response lists no address")}
	for i := 0; i < len(addresses) && i < maxAddresses; i++ {
		resp, err := s.client.sendTo(ctx, "http://"+addresses[i], req)
		if err != nil {
			lastErr = &unreachableError{tried: addresses[:i+1], lastErr: err}
			if !isDialError(err) {
				return nil, "", trace.Wrap(err, "the connection to %s failed after sending; whether the request ran is not known", addresses[i])
			}
			continue
		}
		if resp.StatusCode == http.StatusOK {
			return resp, addresses[i], nil
		}
		lastErr = readProblem(resp)
		resp.Body.Close()
		if !shouldTryOtherNode(lastErr) {
			return nil, "", lastErr
		}
		addresses = appendAddresses(addresses, lastErr)
	}
	return nil, "", lastErr
}

// shouldTryOtherNode reports whether a refusal means that the request did not run
// and that another node may accept it.
func shouldTryOtherNode(err error) bool {
	var p *problemError
	if !errors.As(err, &p) || p.problem.Attempt != refuser.Never.String() {
		return false
	}
	codes := []refuser.Code{refuser.Leaving, refuser.NodeOverload, refuser.NotCaughtUp, refuser.LedgerCatchUp}
	return slices.Contains(codes, refuser.Code(p.problem.Code))
}

// appendAddresses appends the addresses that a refusal names to the addresses to
// try.
func appendAddresses(addresses []string, err error) []string {
	var p *problemError
	if !errors.As(err, &p) {
		return addresses
	}
	for _, address := range p.problem.Addresses {
		if !slices.Contains(addresses, address) && strings.Contains(address, ":") {
			addresses = append(slices.Clone(addresses), address)
		}
	}
	return addresses
}
