package org.clementinepost.api;

import io.vavr.control.Option;

/**
 * The load of one backend server as its host sees it, for one kind of request.
 *
 * @param refusal the result code with which the host would refuse such a request if it asked for a
 *     free slot now; none if the host would admit it
 * @param running the number of requests in flight
 * @param waiting the number of requests that wait for a slot
 * @param slots the number of concurrent requests that the server accepts
 * @param predictedWaitMicros how long such a request would wait for a slot; none while the host
 *     knows no run times
 * @param expectedRunMicros the usual run time of such a request; none while it is unknown
 */
public record LoadReport(
    Option<ResultCode> refusal,
    int running,
    int waiting,
    int slots,
    Option<Long> predictedWaitMicros,
    Option<Long> expectedRunMicros) {

  /** Returns the report on a server for which the host admits nothing. */
  public static LoadReport refused(ResultCode code) {
    return new LoadReport(Option.some(code), 0, 0, 0, Option.none(), Option.none());
  }

  /** Whether all figures are possible; the figures of another node are checked before use. */
  public boolean isPlausible() {
    return running >= 0
        && waiting >= 0
        && slots >= 0
        && predictedWaitMicros.forAll(micros -> micros >= 0)
        && expectedRunMicros.forAll(micros -> micros >= 0);
  }
}
