package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against events that are made of two responses, wherever the first one breaks off and
 * however its events are laid out in chunks.
 */
class JoinedStreamTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String REPETITION = HEAD + chunk("id: 3\ndata: x\n\n") + "0\r\n\r\n";

  private static final List<String> FORMS =
      List.of(
          "id: %d\ndata: word %d\n\n",
          "data: word\nid: %d\n\n",
          ": comment\n\nevent: word\nid: %d\ndata: {\"word\":%d}\n\n",
          "id: %d\r\ndata: word %d\r\n\r\n",
          ": comment\r\n\r\ndata: word\r\nid: %d\r\n\r\n");

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\n\n",
        "HTTP/1.1 10HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        "HTTP/1.1 503 Full\r\nretry-after: 1\r\n\r\n",
        "HTTP/1.1 503 Full\r\nid: 4\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200\r\n\r\n",
        "HTTP/1.1 200 OK\r\nattempt-id: 9c\r\ncontent-length: 15\r\n\r\nid: 4\ndata: x\n\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nid: 4\r\n1\r\n\n\r\n"
      })
  void onlyEventsOfTheFirstResponseArePassedOn(String behind) {
    for (String form : FORMS) {
      List<String> events = List.of(event(form, 1), event(form, 2), event(form, 3));
      String text = String.join("", events);
      for (String body :
          List.of(
              events.stream().map(JoinedStreamTest::chunk).collect(Collectors.joining()),
              chunk(text),
              chunk(text.substring(0, text.length() / 2))
                  + chunk(text.substring(text.length() / 2)))) {
        String whole = HEAD + body + "0\r\n\r\n";
        for (int end = HEAD.length(); end < whole.length(); end++) {
          if (!endsBehindSize(whole, end)) {
            assertThat(text).startsWith(passedOn(whole.substring(0, end) + behind));
            assertThat(text).startsWith(passedOn(whole.substring(0, end) + behind + REPETITION));
          }
        }
      }
    }
  }

  /** Connections are watched for a response that continues the line with the size of a chunk. */
  private static boolean endsBehindSize(String whole, int end) {
    return whole.charAt(end - 1) == '\r'
        && whole.charAt(end) == '\n'
        && Character.digit(whole.charAt(end - 2), 16) >= 0;
  }

  private static String passedOn(String bytes) {
    StringBuilder passedOn = new StringBuilder();
    WholeEvents events = new WholeEvents("attempt-id", event -> passedOn.append(event.text()));
    EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
    try {
      channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
      boolean isJoined = false;
      for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
        if (!isJoined && next instanceof HttpContent content) {
          isJoined =
              content.decoderResult().isFailure()
                  || !events.add(BufferInternal.buffer(content.content()));
        }
        ReferenceCountUtil.release(next);
      }
    } catch (NumberFormatException | NonIncreasingIdException malformed) {
      // The exchange fails.
    } finally {
      channel.finishAndReleaseAll();
    }
    return passedOn.toString();
  }

  private static String event(String form, int id) {
    return form.formatted(id, id);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}
