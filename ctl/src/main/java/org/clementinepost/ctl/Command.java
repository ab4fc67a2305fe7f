package org.clementinepost.ctl;

/** Action of one command. */
@FunctionalInterface
interface Command {
  /** Runs the command until it is complete. */
  Outcome run(CommandContext context);
}
