package org.clementinepost.ctl;

import io.vavr.collection.Vector;

/** All commands. */
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
              "pull DIR",
              "updates a folder with the changes that others have published",
              new PullCommand()),
          CommandEntry.remote("history", "lists the newest versions", new HistoryCommand()),
          CommandEntry.remote(
              "status", "shows the newest version and what is out of service", new StatusCommand()),
          CommandEntry.remote(
              "drain SERVER",
              "stops sending new requests to a backend server",
              DrainCommand.drain()),
          CommandEntry.remote(
              "undrain SERVER",
              "resumes sending requests to a backend server",
              DrainCommand.undrain()),
          CommandEntry.remote(
              "domain out NAME", "takes a failure domain out of service", DomainCommand.out()),
          CommandEntry.remote(
              "domain in NAME", "puts a failure domain back into service", DomainCommand.in()),
          CommandEntry.remote(
              "key grant CUSTOMER", "creates a key and prints it once", new KeyGrantCommand()),
          CommandEntry.remote(
              "key withdraw NAME", "revokes a key permanently", new KeyWithdrawCommand()),
          CommandEntry.local(
              "explain CODE",
              "explains a result code, or with --logs the outcome of a request",
              new ExplainCommand()));

  private Commands() {}
}
