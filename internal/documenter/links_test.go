package documenter

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// root is the path of the repository.
const root = "../.."

// pages returns the paths of docs/*.md and the README.
func pages(t *testing.T) []string {
	t.Helper()
	list, err := filepath.Glob(root + "/docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	return append(list, root+"/README.md")
}

func TestLinksAndPathsInPagesExist(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	path := regexp.MustCompile("`((?:internal|scripts|cmd|docs)/[A-Za-z0-9_./-]+)`")
	for _, page := range pages(t) {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(data), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links %s, which does not exist", page, m[1])
			}
		}
		for _, m := range path.FindAllStringSubmatch(string(data), -1) {
			if _, err := os.Stat(filepath.Join(root, m[1])); err != nil {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
	}
}

func TestGlossaryNamesPackagesThatExist(t *testing.T) {
	data, err := os.ReadFile(root + "/docs/GLOSSARY.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| .* \| (.*` + "`" + `.*) \|$`)
	name := regexp.MustCompile("`([a-z./]+)`")
	found := 0
	for _, r := range row.FindAllStringSubmatch(string(data), -1) {
		for _, m := range name.FindAllStringSubmatch(r[1], -1) {
			found++
			_, short := os.Stat(root + "/internal/supervisor/" + m[1])
			_, full := os.Stat(root + "/" + m[1])
			if short != nil && full != nil {
				t.Errorf("docs/GLOSSARY.md names %s, which does not exist", m[1])
			}
		}
	}
	if found == 0 {
		t.Error("got no names in docs/GLOSSARY.md")
	}
}
