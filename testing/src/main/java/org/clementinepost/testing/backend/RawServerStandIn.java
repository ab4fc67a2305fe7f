package org.clementinepost.testing.backend;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinepost.api.NetworkAddress;

/**
 * A server that responds with arbitrary bytes, valid HTTP or not, and counts the bytes sent.
 *
 * <p>It reads the body of a request only where a response says so, and closes a connection only
 * where a response says so.
 */
public final class RawServerStandIn implements AutoCloseable {
  /** In the prefix of a response, replaced by the attempt id of the request. */
  public static final String ATTEMPT_ID = "{attempt-id}";

  private static final Pattern ATTEMPT_ID_HEADER = Pattern.compile("(?i)\r\nattempt-id: *(\\S+)");
  private static final String HEAD_END = "\r\n\r\n";
  private static final int BACKLOG = 50;
  private static final int CHUNK_BYTES = 8_192;

  /**
   * The bytes sent after a request.
   *
   * @param prefix sent once, in a single write
   * @param repeated sent after the prefix repeatedly until the peer closes the connection; nothing
   *     if empty
   * @param pauseMillis the pause before each repetition and before the ending
   * @param readBytes the bytes of the request's body that are read before the ending
   * @param ending what happens to the connection afterwards
   */
  public record RawResponse(
      String prefix, String repeated, long pauseMillis, int readBytes, Ending ending) {
    /** Creates a response after which the connection stays open. */
    public RawResponse(String prefix, String repeated, long pauseMillis) {
      this(prefix, repeated, pauseMillis, 0, Ending.NONE);
    }

    /** Returns bytes after which the server closes the connection. */
    public static RawResponse thenClose(String bytes) {
      return new RawResponse(bytes, "", 0, 0, Ending.CLOSE);
    }

    /**
     * Returns bytes that are sent before the body of the request is read.
     *
     * @param readBytes the bytes of the request's body that are read afterwards
     * @param ending what happens to the connection then
     */
    public static RawResponse early(String bytes, int readBytes, Ending ending) {
      return new RawResponse(bytes, "", EARLY_RESPONSE_MILLIS, readBytes, ending);
    }

    /** Returns a response of finite length. */
    public static RawResponse once(String bytes) {
      return new RawResponse(bytes, "", 0);
    }

    /** Returns a response without end, sent as fast as the peer reads it. */
    public static RawResponse endless(String prefix, String repeated) {
      String chunk = repeated.repeat(Math.max(1, CHUNK_BYTES / repeated.length()));
      return new RawResponse(prefix, chunk, 0);
    }
  }

  /** What a server does to a connection after a response. */
  public enum Ending {
    /** It waits for the next request. */
    NONE,
    /** It closes the connection. */
    CLOSE,
    /** It ends its own direction in an orderly way and reads nothing more until the peer closes. */
    HALF_CLOSE,
    /** It resets the connection. */
    RESET
  }

  /** How long the peer has for reading an early response before the connection ends. */
  private static final long EARLY_RESPONSE_MILLIS = 200;

  /** How long a connection whose one direction has ended stays open. */
  private static final long HALF_CLOSED_MILLIS = 2_000;

  private final ServerSocket listener;
  private final IntFunction<RawResponse> responses;
  private final AtomicInteger requestCount = new AtomicInteger();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final AtomicLong sentBytes = new AtomicLong();
  private final CountDownLatch closedByPeer = new CountDownLatch(1);

  private RawServerStandIn(IntFunction<RawResponse> responses) {
    this.responses = responses;
    try {
      listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::acceptConnections);
  }

  /**
   * Starts on a free port of the loopback interface.
   *
   * @param responses returns the response to a request by its number, which starts at 1 and counts
   *     requests of all connections
   */
  public static RawServerStandIn start(IntFunction<RawResponse> responses) {
    return new RawServerStandIn(responses);
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connectionCount.incrementAndGet();
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listening socket was closed: the stand-in stops.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Optional<String> head = readHead(socket.getInputStream());
      while (head.isPresent()) {
        RawResponse response = responses.apply(requestCount.incrementAndGet());
        send(socket.getOutputStream(), response, attemptId(head.get()));
        end(socket, response);
        head =
            response.ending() == Ending.NONE ? readHead(socket.getInputStream()) : Optional.empty();
      }
    } catch (IOException e) {
      // The peer reset the connection; the finally block records this.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closedByPeer.countDown();
    }
  }

  private static void end(Socket socket, RawResponse response)
      throws IOException, InterruptedException {
    if (response.ending() == Ending.NONE) {
      return;
    }
    socket.getInputStream().readNBytes(response.readBytes());
    TimeUnit.MILLISECONDS.sleep(response.pauseMillis());
    if (response.ending() == Ending.HALF_CLOSE) {
      socket.shutdownOutput();
      TimeUnit.MILLISECONDS.sleep(HALF_CLOSED_MILLIS);
    }
    if (response.ending() == Ending.RESET) {
      socket.setSoLinger(true, 0);
    }
  }

  private static String attemptId(String head) {
    Matcher matcher = ATTEMPT_ID_HEADER.matcher(head);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static Optional<String> readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(HEAD_END) < 0) {
      int next = input.read();
      if (next < 0) {
        return Optional.empty();
      }
      head.append((char) next);
    }
    return Optional.of(head.toString());
  }

  private void send(OutputStream output, RawResponse response, String attemptId)
      throws IOException, InterruptedException {
    write(output, response.prefix().replace(ATTEMPT_ID, attemptId));
    while (!response.repeated().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(response.pauseMillis());
      write(output, response.repeated());
    }
  }

  private void write(OutputStream output, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    output.write(bytes);
    sentBytes.addAndGet(bytes.length);
  }

  /** Returns the address that the server listens on. */
  public NetworkAddress address() {
    return new NetworkAddress(listener.getInetAddress().getHostAddress(), listener.getLocalPort());
  }

  /** Returns the bytes written, including those still in the buffers of the system or the peer. */
  public long sentBytes() {
    return sentBytes.get();
  }

  /** Returns the number of connections accepted. */
  public int connectionCount() {
    return connectionCount.get();
  }

  /** Waits until the peer closes a connection; returns false if the time elapses first. */
  public boolean awaitClosed(long millis) throws InterruptedException {
    return closedByPeer.await(millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
