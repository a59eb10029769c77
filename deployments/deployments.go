// Package deployments holds the settings, templates and stand-ins of the
// shipped deployments, built into the binary for demonstrations and
// experiments.
package deployments

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"strings"
)

//go:embed */*.toml
var files embed.FS

// Names of the shipped deployments.
const (
	KarooWick         = "karoo-wick"
	AgenciaNordestina = "agencia-nordestina"
)

// Names lists the shipped deployments.
func Names() []string { return []string{KarooWick, AgenciaNordestina} }

// homeNetwork begins all addresses in the files.
const homeNetwork = "127.0."

// File returns a file of a deployment, with its addresses moved to the
// loopback network 127.N.
func File(deployment, name string, network int) ([]byte, error) {
	data, err := files.ReadFile(path.Join(deployment, name))
	if err != nil {
		return nil, fmt.Errorf("deployments: %w", err)
	}
	moved := strings.ReplaceAll(string(data), homeNetwork, fmt.Sprintf("127.%d.", network))
	return []byte(moved), nil
}

// EntryFiles lists the settings files of a deployment's entries.
func EntryFiles(deployment string) ([]string, error) {
	matches, err := fs.Glob(files, path.Join(deployment, "entry-*.toml"))
	if err != nil {
		return nil, fmt.Errorf("deployments: %w", err)
	}
	for i := range matches {
		matches[i] = path.Base(matches[i])
	}
	return matches, nil
}
