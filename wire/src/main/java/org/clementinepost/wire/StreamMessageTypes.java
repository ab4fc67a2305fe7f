package org.clementinepost.wire;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HeaderField;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.StreamMessage;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The encoding of the messages that carry requests and responses. */
final class StreamMessageTypes {
  private static final int MAX_CHUNK_BYTES = 1 << 20;
  private static final long MAX_RETRY_AFTER_MILLIS = TimeUnit.HOURS.toMillis(1);

  private StreamMessageTypes() {}

  static Vector<MessageType<?>> all() {
    return Vector.of(
        new MessageType<>(
            10, StreamMessage.Open.class, StreamMessageTypes::write, StreamMessageTypes::readOpen),
        new MessageType<>(
            11,
            StreamMessage.Demand.class,
            (packer, demand) -> packer.packLong(demand.streamId()).packInt(demand.chunks()),
            unpacker -> new StreamMessage.Demand(unpacker.unpackLong(), unpacker.unpackInt())),
        new MessageType<>(
            12,
            StreamMessage.ResponseStart.class,
            StreamMessageTypes::write,
            StreamMessageTypes::readResponseStart),
        new MessageType<>(
            13,
            StreamMessage.Data.class,
            (packer, data) -> Fields.writeChunk(packer.packLong(data.streamId()), data.content()),
            unpacker ->
                new StreamMessage.Data(
                    unpacker.unpackLong(), Fields.readChunk(unpacker, MAX_CHUNK_BYTES))),
        new MessageType<>(
            14,
            StreamMessage.End.class,
            (packer, end) -> packer.packLong(end.streamId()).packLong(end.totalBytes()),
            unpacker -> new StreamMessage.End(unpacker.unpackLong(), unpacker.unpackLong())),
        new MessageType<>(
            15,
            StreamMessage.Failed.class,
            StreamMessageTypes::write,
            StreamMessageTypes::readFailed),
        new MessageType<>(
            16,
            StreamMessage.Cancel.class,
            (packer, cancel) -> packer.packLong(cancel.streamId()),
            unpacker -> new StreamMessage.Cancel(unpacker.unpackLong())));
  }

  private static void write(MessagePacker packer, StreamMessage.Open open) throws IOException {
    RequestHead head = open.head();
    packer.packLong(open.streamId());
    packer.packString(open.server().value());
    packer.packString(head.requestId().value());
    packer.packInt(head.attempt());
    Fields.writeOption(packer, head.customer(), (p, customer) -> p.packString(customer.value()));
    packer.packString(head.service().value());
    packer.packString(head.method());
    packer.packString(head.uri());
    Fields.writeAll(packer, head.headers(), StreamMessageTypes::write);
    packer.packBoolean(head.idempotent());
    Fields.writeOption(packer, head.idempotencyKey(), MessagePacker::packString);
    packer.packLong(head.timeoutMillis());
    packer.packLong(head.bodyBytes());
    write(packer, head.options());
  }

  private static StreamMessage.Open readOpen(MessageUnpacker unpacker) throws IOException {
    long streamId = unpacker.unpackLong();
    BackendServerId server = new BackendServerId(unpacker.unpackString());
    RequestHead head =
        new RequestHead(
            new RequestId(unpacker.unpackString()),
            unpacker.unpackInt(),
            Fields.readOption(unpacker, u -> new CustomerId(u.unpackString())),
            new ServiceId(unpacker.unpackString()),
            unpacker.unpackString(),
            unpacker.unpackString(),
            Fields.readAll(unpacker, StreamMessageTypes::readHeader),
            unpacker.unpackBoolean(),
            Fields.readOption(unpacker, MessageUnpacker::unpackString),
            unpacker.unpackLong(),
            unpacker.unpackLong(),
            readOptions(unpacker));
    return new StreamMessage.Open(streamId, server, head);
  }

  private static void write(MessagePacker packer, RequestOptions options) throws IOException {
    packer.packInt(options.priority());
    packer.packLong(options.targetLatencyMillis());
    packer.packInt(options.maxAttempts());
    Fields.writeOption(
        packer, options.callingService(), (p, service) -> p.packString(service.value()));
    packer.packInt(options.admissionMode().number());
  }

  private static RequestOptions readOptions(MessageUnpacker unpacker) throws IOException {
    return new RequestOptions(
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        Fields.readOption(unpacker, u -> new ServiceId(u.unpackString())),
        AdmissionMode.ofNumber(unpacker.unpackInt()));
  }

  private static void write(MessagePacker packer, StreamMessage.ResponseStart start)
      throws IOException {
    ResponseHead head = start.head();
    packer.packLong(start.streamId());
    packer.packInt(head.status());
    Fields.writeAll(packer, head.headers(), StreamMessageTypes::write);
    packer.packString(head.server().value());
    packer.packLong(head.serverMicros());
    packer.packInt(head.report().number());
  }

  private static StreamMessage.ResponseStart readResponseStart(MessageUnpacker unpacker)
      throws IOException {
    long streamId = unpacker.unpackLong();
    ResponseHead head =
        new ResponseHead(
            unpacker.unpackInt(),
            Fields.readAll(unpacker, StreamMessageTypes::readHeader),
            new BackendServerId(unpacker.unpackString()),
            unpacker.unpackLong(),
            HostReport.ofNumber(unpacker.unpackInt()));
    return new StreamMessage.ResponseStart(streamId, head);
  }

  /** The time to come back is written only if it is known: a build without the field rejects it. */
  private static void write(MessagePacker packer, StreamMessage.Failed failed) throws IOException {
    packer.packLong(failed.streamId());
    packer.packInt(failed.failure().code().number());
    packer.packString(failed.failure().detail());
    if (failed.failure().retryAfterMillis().isDefined()) {
      packer.packLong(failed.failure().retryAfterMillis().get());
    }
  }

  private static StreamMessage.Failed readFailed(MessageUnpacker unpacker) throws IOException {
    long streamId = unpacker.unpackLong();
    int number = unpacker.unpackInt();
    ResultCode code = ResultCode.ofNumber(number).orElse(ResultCode.PEER_PROTOCOL);
    String detail = unpacker.unpackString();
    return new StreamMessage.Failed(
        streamId, new Failure(code, detail, readRetryAfterMillis(unpacker)));
  }

  /** Ignores a time that no host tells. */
  private static Option<Long> readRetryAfterMillis(MessageUnpacker unpacker) throws IOException {
    if (!unpacker.hasNext()) {
      return Option.none();
    }
    return Option.some(unpacker.unpackLong())
        .filter(millis -> millis >= 0 && millis <= MAX_RETRY_AFTER_MILLIS);
  }

  private static void write(MessagePacker packer, HeaderField header) throws IOException {
    packer.packString(header.name()).packString(header.value());
  }

  private static HeaderField readHeader(MessageUnpacker unpacker) throws IOException {
    return new HeaderField(unpacker.unpackString(), unpacker.unpackString());
  }
}
