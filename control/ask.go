package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/lotuswing/lotuswing/command"
)

// mostErrorBytes bounds what is read of an error's text.
const mostErrorBytes = 4 << 10

// ask returns the list that a balancer serves under a path of its admin address.
func ask[T any](addr, path string) ([]T, error) {
	var list []T
	if err := askValue(addr, path, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// put prints a list as a table, or as JSON where the caller wants that.
func put[T any](e *command.Env, list []T, rows func([]T) (header []string, rows [][]string)) error {
	if e.Format == "json" {
		return e.JSON(list)
	}
	return e.Table(rows(list))
}

// order has a balancer carry out an operator's word. Its errors carry the exit codes that
// tell a mistake, a word that came too late and one whose outcome is not known apart; the
// subject begins the text of an error before any answer.
func order(addr, path, subject string) error {
	client := &http.Client{Timeout: readHeaderTimeout}
	resp, err := client.Post("http://"+addr+path, "", nil)
	if err != nil {
		return fmt.Errorf("%s: %w", subject, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusBadRequest:
		return command.ExitError{Code: command.ExitUsage, Err: errorOf(resp)}
	case http.StatusConflict:
		return command.ExitError{Code: command.ExitLost, Err: errorOf(resp)}
	case http.StatusBadGateway:
		return command.ExitError{Code: command.ExitUnknown, Err: errorOf(resp)}
	}
	return errorOf(resp)
}

// errorOf returns the error that a balancer answered.
func errorOf(resp *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostErrorBytes))
	if err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return errors.New(strings.TrimSpace(string(text)))
}

// askStatus decodes the status of the balancer at an admin address into st.
func askStatus(addr string, st any) error { return askValue(addr, "/status", st) }

// askValue decodes what a balancer serves at a path.
func askValue(addr, path string, value any) error {
	client := &http.Client{Timeout: readHeaderTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	if resp.StatusCode != http.StatusOK {
		return errorOf(resp)
	}
	return json.NewDecoder(resp.Body).Decode(value)
}
