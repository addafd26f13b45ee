package node

import (
	"bytes"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/setup"
)

// leastSecretBytes is the least length of a secret of the fleet.
const leastSecretBytes = 16

// newHasher reads the secret under which access keys are hashed.
func newHasher(settings *setup.Entry) (*ident.Hasher, error) { return ReadHasher(settings.KeySecretFile) }

// ReadHasher reads the secret under which access keys and operators' tokens
// are hashed from a file.
func ReadHasher(path string) (*ident.Hasher, error) {
	secrets, err := readSecrets(path)
	if err != nil {
		return nil, err
	}
	if len(secrets) > 1 {
		return nil, merry.Errorf("%s holds more than one line", path)
	}
	return ident.NewHasher(secrets[0]), nil
}

// newKeyring reads the secrets that sign tickets.
func newKeyring(process *setup.Process) (*ident.Keyring, error) {
	secrets, err := readSecrets(process.TicketSecretFile)
	if err != nil {
		return nil, err
	}
	return ident.NewKeyring(ident.KeyringConfig{Secrets: secrets}), nil
}

// readSecrets returns the lines of a file, of which there is at least one.
func readSecrets(path string) ([][]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var secrets [][]byte
	for line := range bytes.Lines(content) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if len(line) < leastSecretBytes {
			return nil, merry.Errorf("%s: a secret has %d bytes, at least %d are needed", path, len(line), leastSecretBytes)
		}
		secrets = append(secrets, line)
	}
	if len(secrets) == 0 {
		return nil, merry.Errorf("%s holds no secret", path)
	}
	return secrets, nil
}
