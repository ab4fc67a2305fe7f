package org.clementinepost.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.JsonDocuments;

/**
 * Prints outcomes as JSON to standard output, or as text to standard output or, for errors,
 * standard error.
 */
record OutcomeWriter(PrintStream output, PrintStream error) {
  void writeJson(Outcome outcome) {
    ObjectNode node =
        JsonDocuments.newObject()
            .put("result", outcome.code().number())
            .put("name", outcome.code().name())
            .put("title", outcome.code().title());
    outcome.fields().forEach((name, value) -> node.set(name, value));
    output.println(JsonDocuments.writeIndented(node));
  }

  void writeText(Outcome outcome) {
    ResultCode code = outcome.code();
    if (code != ResultCode.OK) {
      error.println("error " + code.number() + " " + code.name() + ": " + code.title());
    }
    PrintStream stream = code == ResultCode.OK ? output : error;
    outcome.lines().filter(line -> !line.isEmpty()).forEach(stream::println);
    if (code != ResultCode.OK) {
      error.println("clementinectl explain " + code.number() + " shows how to resolve it");
    }
  }
}
