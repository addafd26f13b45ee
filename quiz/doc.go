// Package quiz implements the questionnaire for a new team: the questions, the
// checks of the answers, and the configuration and accelerator count that are
// derived from them. It does no input or output.
package quiz
