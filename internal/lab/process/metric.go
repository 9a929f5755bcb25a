package process

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Metric reads a metric without labels from the daemon's metrics.
func (d *Daemon) Metric(name string) (float64, error) {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + d.Health + "/metrics")
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	scanner := bufio.NewScanner(answer.Body)
	for scanner.Scan() {
		text, found := strings.CutPrefix(scanner.Text(), name+" ")
		if found {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, fmt.Errorf("%s has no metric %s", d.Plan.ID, name)
}
