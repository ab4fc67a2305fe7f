package org.clementinepost.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.JsonDocuments;
import org.clementinepost.storage.config.source.Finding;

/** Formats the findings of a check. */
final class FindingsFormatter {
  private FindingsFormatter() {}

  /** Returns the outcome of a check with findings; its code is that of the first finding. */
  static Outcome toOutcome(Vector<Finding> findings) {
    ResultCode code = findings.head().code();
    return Outcome.builder(code)
        .objects("findings", findings.map(FindingsFormatter::toJson))
        .lines(findings.map(FindingsFormatter::toText))
        .line(findings.size() + " found")
        .build();
  }

  private static ObjectNode toJson(Finding finding) {
    return JsonDocuments.newObject()
        .put("file", finding.file())
        .put("pointer", finding.pointer())
        .put("code", finding.code().number())
        .put("problem", finding.problem())
        .put("hint", finding.hint());
  }

  private static String toText(Finding finding) {
    return finding.file()
        + (finding.pointer().isEmpty() ? "" : " at " + finding.pointer())
        + ": "
        + finding.code().number()
        + " "
        + finding.problem()
        + "; "
        + finding.hint();
  }
}
