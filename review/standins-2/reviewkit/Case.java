package reviewkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** Runs a case: starts its parts, ends them in reverse order, and reports the verdict. */
public abstract class Case {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;

  static {
    // Without this, the HTTP server of the JDK delays each response by a delayed acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private final Deque<AutoCloseable> parts = new ArrayDeque<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger lastAttempt = new AtomicInteger();
  protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  protected Record record;
  protected Path work;
  protected Store store;

  /** Thrown if the case could not be brought about. */
  protected static final class CouldNotRunException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public CouldNotRunException(String why) {
      super(why);
    }
  }

  /** Plays the case; returns whether the rule held. */
  protected abstract boolean play() throws Exception;

  /** Runs the case in the folder that is given, and exits with its verdict. */
  protected final void main(String folder) throws IOException {
    work = Files.createTempDirectory("review-case");
    int verdict = COULD_NOT_RUN;
    record = new Record(Path.of(folder, "record.txt"));
    Thread atExit = new Thread(this::closeParts);
    Runtime.getRuntime().addShutdownHook(atExit);
    try {
      record.write("TROUBLE=%d", trouble ? 1 : 0);
      store = add(new Store(record));
      verdict = play() ? HELD : BROKEN;
    } catch (Exception e) {
      record.report("could not run: %s", e);
    }
    closeParts();
    record.report(
        "%s", verdict == HELD ? "HELD" : verdict == BROKEN ? "BROKEN" : "COULD NOT RUN");
    record.close();
    deleteWork();
    Runtime.getRuntime().halt(verdict);
  }

  private synchronized void closeParts() {
    while (!parts.isEmpty()) {
      try {
        parts.pop().close();
      } catch (Exception e) {
        record.write("not closed: %s", e);
      }
    }
  }

  private void deleteWork() throws IOException {
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + work);
      return;
    }
    try (Stream<Path> files = Files.walk(work)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }

  protected final synchronized <T extends AutoCloseable> T add(T part) {
    parts.push(part);
    return part;
  }

  protected final Node startNode(String name, String zone, String service) {
    return startNode(name, zone, service, false);
  }

  protected final Node startNode(String name, String zone, String service, boolean pipelining) {
    Node node = add(new Node(record, work, name, zone, service, store.address(), pipelining));
    node.start();
    return node;
  }

  protected final Backend startBackend(
      Node node, String id, String service, String zone, int slots, long workMillis) {
    return add(
        new Backend(
            record, id, service, zone, node.backendPort(), node.control(), slots, workMillis));
  }

  /** Sends one request as a client on the machine of a node; the answer is recorded. */
  protected final Http.Response request(
      Node node, String method, String host, String path, int deadlineMillis) {
    String attempt = "attempt-" + lastAttempt.incrementAndGet();
    record.write("client sends %s %s %s to %s", attempt, method, path, node.name());
    Http.Response response =
        Http.send(
            node.ingress(),
            method,
            path,
            Map.of(
                "Host", host,
                "Attempt-Id", attempt,
                "Deadline-Ms", String.valueOf(deadlineMillis)),
            method.equals("POST") ? "body" : "",
            deadlineMillis);
    record.write(
        "client gets %s %d %s %s",
        attempt, response.status(), response.header("Clementinepost-Result"), response.body());
    return response;
  }

  /** Sends requests at a steady rate until told to stop. */
  protected final void load(
      Node node, String host, String path, int perSecond, BooleanSupplier stopped) {
    threads.execute(
        () -> {
          long nextNanos = System.nanoTime();
          while (!stopped.getAsBoolean()) {
            threads.execute(() -> request(node, "GET", host, path, 2_000));
            nextNanos += 1_000_000_000L / perSecond;
            long waitMillis = (nextNanos - System.nanoTime()) / 1_000_000;
            if (waitMillis > 0) {
              sleep(waitMillis);
            }
          }
        });
  }

  protected final void await(String what, long maxMillis, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + maxMillis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new CouldNotRunException("after " + maxMillis + " ms: no " + what);
      }
      sleep(50);
    }
    record.write("reached: %s", what);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  protected static final void pause(long millis) {
    sleep(millis);
  }
}
