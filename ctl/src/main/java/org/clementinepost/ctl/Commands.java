package org.clementinepost.ctl;

import io.vavr.collection.Vector;

/** Every command. */
final class Commands {
  static final Vector<CommandEntry> ALL =
      Vector.of(
          CommandEntry.local(
              "check DIR", "checks a folder's objects, without the platform", new CheckCommand()),
          CommandEntry.remote(
              "diff DIR", "shows what publishing a folder would change", new DiffCommand()),
          CommandEntry.remote(
              "publish DIR", "checks a folder and publishes it", new PublishCommand()),
          CommandEntry.remote(
              "pull DIR", "brings into a folder what others have published", new PullCommand()),
          CommandEntry.remote("history", "lists the newest versions", new HistoryCommand()),
          CommandEntry.remote(
              "status", "shows the newest version and what is out of service", new StatusCommand()),
          CommandEntry.remote(
              "drain SERVER", "gives a backend server no new work", DrainCommand.drain()),
          CommandEntry.remote(
              "undrain SERVER", "gives a backend server work again", DrainCommand.undrain()),
          CommandEntry.remote("domain out NAME", "takes a failure domain out", DomainCommand.out()),
          CommandEntry.remote("domain in NAME", "takes it back in", DomainCommand.in()),
          CommandEntry.remote(
              "key grant CUSTOMER", "grants a key and shows it once", new KeyGrantCommand()),
          CommandEntry.remote(
              "key withdraw NAME", "withdraws a key for good", new KeyWithdrawCommand()),
          CommandEntry.local(
              "explain CODE",
              "tells what a result code means, or with --logs what became of a request",
              new ExplainCommand()));

  private Commands() {}
}
