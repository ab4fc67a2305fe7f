import java.nio.file.Path;

/**
 * Runs one case. The exit codes differ from those of a JVM that fails; run.sh turns them into 1 if the
 * rule was broken, 0 if it held, and 2 if the case could not run.
 */
final class Case {
  static final int HELD = 40;
  static final int BROKEN = 41;
  static final int NOT_RUN = 42;

  /** The body of a case; returns whether the rule was broken. */
  interface Body {
    boolean run(Deployment deployment, RunRecord record, boolean trouble) throws Exception;
  }

  private Case() {}

  static void run(String[] arguments, Body body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = NOT_RUN;
    try (RunRecord record = new RunRecord(Path.of(arguments[0]).resolve("record.txt"))) {
      record.line("trouble=%s", trouble);
      try (Deployment deployment = new Deployment(record)) {
        boolean broken = body.run(deployment, record, trouble);
        record.line(broken ? "RULE BROKEN" : "rule held");
        code = broken ? BROKEN : HELD;
      } catch (Exception e) {
        record.line("could not run: %s", e);
        e.printStackTrace();
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }
}
