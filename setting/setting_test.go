package setting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticbay/setting"
)

func TestDefaultsAreAllowed(t *testing.T) {
	entry, platform, target := setting.Default[setting.Entry](), setting.Default[setting.Platform](), setting.Default[setting.Target]()
	for _, err := range []error{setting.Check(&entry), setting.Check(&platform), setting.Check(&target)} {
		if err != nil {
			t.Error(err)
		}
	}
}

func TestErrorsNameKeyValueAndWhatIsAllowed(t *testing.T) {
	for text, want := range map[string][]string{
		"htpp = \"x\"":                             {"htpp", "unknown"},
		"http = \"localhost:80\"":                  {"http", "localhost:80", "IP number"},
		"[policy]\npreset = \"fast\"":              {"policy.preset", "fast", "response messages"},
		"[policy]\nwindow = \"1ms\"":               {"policy.window", "1ms", "1s to 1h"},
		"[limits]\ntasks = 0":                      {"limits.tasks", "0", "1 to 100000"},
		"[limits]\ndeadline = \"2m\"":              {"limits.deadline", "2m", "policy.window"},
		"[policy]\nheartbeat = \"soon\"":           {"heartbeat", "soon"},
		"[common]\ndataCentre = \"laval nord\"":    {"common.dataCentre", "laval nord", "letters"},
		"peers = [\"127.0.0.1:1\", \"elsewhere\"]": {"peers", "elsewhere"},
	} {
		_, err := setting.Parse[setting.Entry]([]byte(text))
		if err == nil {
			t.Errorf("%q was accepted", text)
			continue
		}
		for _, part := range want {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q: %v does not name %q", text, err, part)
			}
		}
	}
}

func TestExamplesAreAllowed(t *testing.T) {
	files, _ := filepath.Glob("../examples/*/*.toml")
	if len(files) == 0 {
		t.Fatal("no examples")
	}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		role, err := setting.FileRole(raw)
		if err != nil {
			t.Fatal(err)
		}
		switch role {
		case "entry":
			_, err = setting.Read[setting.Entry](f)
		case "agent":
			_, err = setting.Read[setting.Agent](f)
		case "platform":
			_, err = setting.Read[setting.Platform](f)
		case "target":
			_, err = setting.Read[setting.Target](f)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
