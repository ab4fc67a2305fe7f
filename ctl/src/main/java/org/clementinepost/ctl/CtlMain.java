package org.clementinepost.ctl;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Main class of {@code clementinectl}. */
public final class CtlMain {
  private static final Logger ROOT = Logger.getLogger("");

  private CtlMain() {}

  /** Runs one command and exits with its exit code. */
  public static void main(String[] arguments) {
    ROOT.setLevel(Level.WARNING);
    Ctl ctl = new Ctl(PlatformConnections::open, System.out, System.err, System::currentTimeMillis);
    System.exit(ctl.run(arguments));
  }
}
