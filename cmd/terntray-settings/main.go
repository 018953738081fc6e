// Terntray-settings renders and checks the installation file, a deployment's own configuration, and creates
// certificates for testing TLS. It is a separate program so that the service includes neither the template language
// nor the schema validator.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"terntray/config"
)

const defaultValidity = 24 * time.Hour // of the certificates for testing

func main() {
	root := &cobra.Command{
		Use:           "terntray-settings",
		Short:         "Render and check the installation file of terntray",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(renderCommand(), checkCommand(), certificatesCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "terntray-settings:", err)
		os.Exit(1)
	}
}

func renderCommand() *cobra.Command {
	var output string
	var variables []string
	command := &cobra.Command{
		Use:   "render FILE.jsonnet",
		Short: "Render and validate a template and write the installation file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := render(args[0], variables)
			if err != nil {
				return err
			}
			if output == "" {
				_, err = os.Stdout.Write(text)
				return err
			}
			return replaceFile(output, text)
		},
	}
	command.Flags().StringVarP(&output, "out", "o", "", "file to replace atomically (default: standard output)")
	addVariablesFlag(command, &variables)
	return command
}

func checkCommand() *cobra.Command {
	var variables []string
	command := &cobra.Command{
		Use:   "check FILE.jsonnet",
		Short: "Render and validate a template, including the certificates that it names",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := checkTemplate(args[0], variables); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "ok:", args[0])
			return nil
		},
	}
	addVariablesFlag(command, &variables)
	return command
}

func certificatesCommand() *cobra.Command {
	var hosts []string
	var validity time.Duration
	command := &cobra.Command{
		Use:   "certs DIR",
		Short: "Create a CA and certificates for testing on loopback",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return config.MakeCertificates(args[0], hosts, validity)
		},
	}
	command.Flags().StringSliceVar(&hosts, "host", []string{"127.0.0.1", "localhost"},
		"host names and IP addresses in the replica's certificate")
	command.Flags().DurationVar(&validity, "lasts", defaultValidity, "validity period of the certificates")
	return command
}

func addVariablesFlag(command *cobra.Command, variables *[]string) {
	command.Flags().StringArrayVar(variables, "var", nil, "NAME=VALUE, the value of std.extVar(NAME)")
}
