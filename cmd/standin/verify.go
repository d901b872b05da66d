package main

import (
	"context"
	"fmt"
	"time"

	"banyanquay/internal/standin/verifier"
)

// verifyArgs are the arguments of the verifying caller.
type verifyArgs struct {
	Nodes    []string      `arg:"--node,separate,required" help:"host:port of a node; repeatable"`
	Key      string        `arg:"--key,required" help:"the organisation's API key"`
	Model    string        `arg:"--model,required" help:"the organisation's model"`
	Version  string        `arg:"--version,required" help:"the model's version"`
	Layers   int           `arg:"--layers,required" help:"layers of the model"`
	Tokens   int           `arg:"--tokens" default:"16" help:"tokens of each answer"`
	Requests int           `arg:"--requests" default:"1" help:"requests sent at the same time"`
	Prompt   string        `arg:"--prompt" default:"hello" help:"beginning of each prompt"`
	Stream   bool          `arg:"--stream" help:"ask for tokens as they come"`
	NoResume bool          `arg:"--no-resume" help:"a broken stream is a failure"`
	Limit    time.Duration `arg:"--limit" default:"1m" help:"time for everything"`
}

func (v *verifyArgs) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, v.Limit)
	defer cancel()
	tries := len(v.Nodes) + 1
	if v.NoResume {
		tries = 1
	}
	report, err := verifier.New(verifier.Config{
		Nodes:       v.Nodes,
		Key:         v.Key,
		Model:       v.Model,
		Version:     v.Version,
		Layers:      v.Layers,
		Tokens:      v.Tokens,
		Requests:    v.Requests,
		Prompt:      v.Prompt,
		Stream:      v.Stream,
		MaxAttempts: tries,
	}).Run(ctx)
	fmt.Printf("%d of %d answers whole, every token right; %d streams resumed; longest gap %d ms\n",
		report.Whole, v.Requests, report.Resumed, report.Gap.Milliseconds())
	return err
}

// callArgs are the arguments of a single call.
type callArgs struct {
	Node           string `arg:"--node,required" help:"host:port of a node, or of a service"`
	Key            string `arg:"--key" help:"the organisation's API key"`
	Method         string `arg:"--method" default:"POST" help:"HTTP method"`
	Path           string `arg:"--path,required" help:"path with its query"`
	Body           string `arg:"--body" help:"body of the request"`
	IdempotencyKey string `arg:"--idempotency-key" help:"Idempotency-Key header"`
	Attempt        string `arg:"--attempt" help:"Idempotency-Attempt header"`
}

func (c *callArgs) run(ctx context.Context) error {
	answer, err := verifier.Call(ctx, verifier.Request{
		Node:           c.Node,
		Key:            c.Key,
		Method:         c.Method,
		Path:           c.Path,
		Body:           c.Body,
		IdempotencyKey: c.IdempotencyKey,
		Attempt:        c.Attempt,
	})
	if err != nil {
		return err
	}
	fmt.Println(answer)
	return nil
}
