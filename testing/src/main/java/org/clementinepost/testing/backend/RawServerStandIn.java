package org.clementinepost.testing.backend;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.clementinepost.api.NetworkAddress;

/**
 * A server that sends bytes of any kind where an answer is due, and counts what was taken of them.
 *
 * <p>It reads requests without a body, and never ends a connection of its own accord.
 */
public final class RawServerStandIn implements AutoCloseable {
  private static final String HEAD_END = "\r\n\r\n";
  private static final int BACKLOG = 50;
  private static final int CHUNK_BYTES = 8_192;

  /**
   * What follows a request.
   *
   * @param prefix sent once, in one piece
   * @param repeated sent after it over and over until the other side closes; empty for nothing
   * @param pauseMillis the pause before each repetition
   */
  public record RawResponse(String prefix, String repeated, long pauseMillis) {
    /** Bytes that end. */
    public static RawResponse once(String bytes) {
      return new RawResponse(bytes, "", 0);
    }

    /** Bytes that do not end and come as fast as they are taken. */
    public static RawResponse endless(String first, String endless) {
      String piece = endless.repeat(Math.max(1, CHUNK_BYTES / endless.length()));
      return new RawResponse(first, piece, 0);
    }
  }

  private final ServerSocket listener;
  private final IntFunction<RawResponse> responses;
  private final AtomicInteger requestCount = new AtomicInteger();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final AtomicLong sentBytes = new AtomicLong();
  private final CountDownLatch closedByPeer = new CountDownLatch(1);

  private RawServerStandIn(IntFunction<RawResponse> replies) {
    this.responses = replies;
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
   * @param replies gives the reply to each request, counted from one over all connections
   */
  public static RawServerStandIn start(IntFunction<RawResponse> replies) {
    return new RawServerStandIn(replies);
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
      // The listening socket is closed: the stand-in ends.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      while (readHead(socket.getInputStream())) {
        send(socket.getOutputStream(), responses.apply(requestCount.incrementAndGet()));
      }
    } catch (IOException e) {
      // The other side has reset the connection, which is counted below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closedByPeer.countDown();
    }
  }

  private static boolean readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(HEAD_END) < 0) {
      int next = input.read();
      if (next < 0) {
        return false;
      }
      head.append((char) next);
    }
    return true;
  }

  private void send(OutputStream output, RawResponse reply)
      throws IOException, InterruptedException {
    write(output, reply.prefix());
    while (!reply.repeated().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(reply.pauseMillis());
      write(output, reply.repeated());
    }
  }

  private void write(OutputStream output, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    output.write(bytes);
    sentBytes.addAndGet(bytes.length);
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return new NetworkAddress(listener.getInetAddress().getHostAddress(), listener.getLocalPort());
  }

  /** The bytes that the other side's or the system's buffers have taken. */
  public long sentBytes() {
    return sentBytes.get();
  }

  /** The connections that were opened to it. */
  public int connectionCount() {
    return connectionCount.get();
  }

  /** Waits until the other side has closed a connection; tells whether it has. */
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
