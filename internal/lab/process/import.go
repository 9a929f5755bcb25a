package process

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/lotusward/lotusward/internal/lab/credential"
)

// importDocument commits the plan's document through lotusctl.
func (d *Deployment) importDocument(ctx context.Context) error {
	if d.Plan.Document == nil {
		return nil
	}
	text, err := json.Marshal(d.Plan.Document)
	if err != nil {
		return err
	}
	path := filepath.Join(d.Plan.Directory, "document.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	_, err = d.Control(ctx, "import-configuration", path)
	return err
}

// Control runs lotusctl against all daemons and returns what it printed.
func (d *Deployment) Control(ctx context.Context, arguments ...string) (string, error) {
	tokenPath := filepath.Join(d.Plan.Directory, "operator-token")
	if err := os.WriteFile(tokenPath, []byte(credential.OperatorToken), 0o600); err != nil {
		return "", err
	}
	all := append([]string{"--address", d.AdminURLs(), "--token-file", tokenPath}, arguments...)
	output, err := exec.CommandContext(ctx, d.program("lotusctl"), all...).CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("lotusctl: %w: %s", err, output)
	}
	return string(output), nil
}
