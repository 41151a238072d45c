package bench

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

// modelsTimeout bounds the question for the models.
const modelsTimeout = 10 * time.Second

var errNoModels = errors.New("bench: the deployment lists no models for the first token")

// chooseModels takes the models of the mixes if the deployment has them, else its first and last one.
func (s *source) chooseModels(ctx context.Context, opts Options) error {
	names, err := listModels(ctx, opts.Entries[0], opts.Tokens[0])
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return errNoModels
	}
	if !slices.Contains(names, s.small) {
		s.small = names[0]
	}
	if !slices.Contains(names, s.large) {
		s.large = names[len(names)-1]
	}
	return nil
}

func listModels(ctx context.Context, addr, token string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, modelsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/models", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.New("bench: models: " + readRefusal(res).Name)
	}
	var answer struct {
		Data []struct{ ID string }
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return nil, err
	}
	var names []string
	for _, model := range answer.Data {
		names = append(names, model.ID)
	}
	return names, nil
}
