package org.clementinepost.ctl;

/** What one command does. */
@FunctionalInterface
interface Command {
  /** Runs the command to its end. */
  Outcome run(CommandContext context);
}
