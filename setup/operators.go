package setup

import "github.com/basilkeel/basilkeel/admin"

// checkOperators reports operators that cannot be parsed, and operators that
// share a name or a token.
func checkOperators(checker *checker, texts []string) {
	seen := map[string]bool{}
	for _, text := range texts {
		operator, err := admin.ParseOperator(text)
		switch {
		case err != nil:
			checker.report("operator", "%v", err)
		case seen[operator.Name()]:
			checker.report("operator", "%s is given twice", operator.Name())
		case seen[operator.Hash()]:
			checker.report("operator", "%s has the token of another operator", operator.Name())
		}
		seen[operator.Name()], seen[operator.Hash()] = true, true
	}
}
