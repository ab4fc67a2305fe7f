package org.clementinepost.testing.platform;

import org.apache.commons.cli.Options;
import org.clementinepost.testing.CommandLines;
import org.clementinepost.testing.StandInProcess;

/** Runs the platform stand-in as a process. */
public final class PlatformStandInMain {
  private static final int DEFAULT_PORT = 8_000;

  private PlatformStandInMain() {}

  /** Serves requests until the process receives a signal. */
  public static void main(String[] args) {
    Options options = new Options();
    CommandLines.addOption(options, "host", "IP address to listen on (default 127.0.0.1)");
    CommandLines.addOption(
        options, "port", "port to listen on (default 8000; 0 selects a free port)");
    StandInProcess.run(
        "platform-stand-in",
        options,
        args,
        line ->
            PlatformStandIn.start(
                line.getOptionValue("host", "127.0.0.1"),
                CommandLines.intValue(line, "port", DEFAULT_PORT)));
  }
}
