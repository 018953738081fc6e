// Terntray-settings renders and checks the installation file, and makes certificates for trying TLS out. It stands apart
// from terntray so that the service carries neither the template language nor the schema's checker.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"terntray/config"
)

func main() {
	root := &cobra.Command{Use: "terntray-settings", Short: "The installation file of terntray", SilenceUsage: true, SilenceErrors: true}
	var out string
	var external []string
	render := &cobra.Command{Use: "render FILE.jsonnet", Short: "Render a template, check it, and write what serve reads",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			text, err := rendered(args[0], external)
			if err != nil {
				return err
			}
			if out == "" {
				_, err = os.Stdout.Write(text)
				return err
			}
			return replace(out, text)
		}}
	render.Flags().StringVarP(&out, "out", "o", "", "the file to write, in one go; else standard output")
	check := &cobra.Command{Use: "check FILE.jsonnet", Short: "Render a template and say what is wrong with it, certificates included",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			text, err := rendered(args[0], external)
			if err != nil {
				return err
			}
			i, err := config.Parse(text)
			if err != nil {
				return err
			}
			if _, err := i.LoadTLS(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok:", args[0])
			return nil
		}}
	for _, c := range []*cobra.Command{render, check} {
		c.Flags().StringArrayVar(&external, "var", nil, "NAME=VALUE, for std.extVar(NAME)")
	}
	var hosts []string
	var lasts time.Duration
	certs := &cobra.Command{Use: "certs DIR", Short: "Make a CA and certificates for trying things out on loopback",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			return config.MakeCertificates(args[0], hosts, lasts)
		}}
	certs.Flags().StringSliceVar(&hosts, "host", []string{"127.0.0.1", "localhost"}, "names and addresses of the box's certificate")
	certs.Flags().DurationVar(&lasts, "lasts", 24*time.Hour, "until the certificates run out")
	root.AddCommand(render, check, certs)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "terntray-settings:", err)
		os.Exit(1)
	}
}
