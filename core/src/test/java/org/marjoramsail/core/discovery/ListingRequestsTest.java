package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.discovery.ListingRequests.Need;
import org.marjoramsail.core.discovery.ListingRequests.Request;
import org.marjoramsail.core.model.DaemonId;

class ListingRequestsTest {

  private static final long TICK_MILLIS = 200;
  private static final List<DaemonId> OTHERS = daemons("other", 80);
  private static final DaemonId FIRST = OTHERS.get(0);
  private static final DaemonId SECOND = OTHERS.get(1);

  private final ListingRequests requests = new ListingRequests(new SplittableRandom(1));

  /** Guards against a daemon that starts and has all others send it everything they know. */
  @Test
  void aDaemonWithoutListsAsksTwoOthersAtATime() {
    List<Request> sent = new ArrayList<>();
    for (long now = 0; now < ListingRequests.SILENCE_MILLIS; now += TICK_MILLIS) {
      sent.addAll(requests.due(Need.LISTS, 0, OTHERS, now));
    }

    assertThat(sent).hasSize(2);
    assertThat(sent).allMatch(one -> one.sections().equals(EnumSet.allOf(ListingSection.class)));
    assertThat(requests.due(Need.LISTS, 0, OTHERS, ListingRequests.SILENCE_MILLIS))
        .hasSize(2)
        .noneMatch(one -> sent.stream().anyMatch(earlier -> earlier.to().equals(one.to())));
  }

  /** Guards against daemons that fall behind since they answer all that start at the same time. */
  @Test
  void eachDaemonAnswersFewOfEightyThatStartTogether() {
    Map<DaemonId, Integer> answers = new HashMap<>();
    for (int started = 0; started < 80; started++) {
      ListingRequests starting = new ListingRequests(new SplittableRandom(started));
      List<Request> sent = starting.due(Need.LISTS, 0, OTHERS, 0);
      sent.forEach(one -> answers.merge(one.to(), 1, Integer::sum));
      starting.answered(sent.get(0).number());
    }

    assertThat(answers.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(160);
    assertThat(answers.values()).allMatch(count -> count <= 8);
  }

  /** Guards against a version that stays unknown to a daemon that cannot read the store. */
  @Test
  void aNewerVersionIsRequestedOnceTheOwnReadHasHadItsTime() {
    requests.told(FIRST, 7, 5, 0);
    requests.told(SECOND, 6, 5, 0);

    assertThat(requests.isNewerKnown(5, 0)).isTrue();
    assertThat(requests.due(Need.NEWER_ROUTES, 5, OTHERS, ListingRequests.OWN_READ_MILLIS - 1))
        .isEmpty();
    assertThat(requests.due(Need.NEWER_ROUTES, 5, OTHERS, ListingRequests.OWN_READ_MILLIS))
        .containsExactly(new Request(FIRST, 1, EnumSet.of(ListingSection.ROUTES)));
  }

  @Test
  void aNewerVersionIsRequestedAtOnceIfTheRoutesCannotBeRead() {
    requests.told(FIRST, 7, 5, 0);

    assertThat(requests.due(Need.NEWER_ROUTES_UNREADABLE, 5, OTHERS, 0)).hasSize(1);
  }

  @Test
  void nothingIsRequestedOnceTheOwnReadHasBroughtTheVersion() {
    requests.told(FIRST, 7, 5, 0);

    assertThat(requests.isNewerKnown(7, 100)).isFalse();
    assertThat(requests.due(Need.NEWER_ROUTES, 7, OTHERS, 1_000)).isEmpty();
  }

  /** Guards against a version that only a daemon that has ended could send. */
  @Test
  void anotherDaemonIsAskedAfterOneThatDoesNotRespond() {
    requests.told(FIRST, 7, 5, 0);
    requests.told(SECOND, 7, 5, 0);
    DaemonId asked = requests.due(Need.NEWER_ROUTES_UNREADABLE, 5, OTHERS, 0).get(0).to();

    List<Request> next =
        requests.due(Need.NEWER_ROUTES_UNREADABLE, 5, OTHERS, ListingRequests.SILENCE_MILLIS);

    assertThat(next).hasSize(1);
    assertThat(next.get(0).to()).isNotEqualTo(asked);
  }

  @Test
  void aResponseThatMakesProgressIsNotReplaced() {
    requests.told(FIRST, 7, 5, 0);
    Request sent = requests.due(Need.NEWER_ROUTES_UNREADABLE, 5, OTHERS, 0).get(0);

    assertThat(requests.progress(FIRST, sent.number(), 900)).isTrue();
    assertThat(requests.due(Need.NEWER_ROUTES_UNREADABLE, 5, OTHERS, 1_800)).isEmpty();
    assertThat(requests.progress(SECOND, sent.number(), 1_800)).isFalse();
  }

  /** Guards against a daemon that would be taken to have a newer version for good. */
  @Test
  void aVersionThatNobodyTellsOfAnyMoreIsForgotten() {
    requests.told(FIRST, 7, 5, 0);

    assertThat(requests.isNewerKnown(5, ListingRequests.FORGET_MILLIS - 1)).isTrue();
    assertThat(requests.isNewerKnown(5, ListingRequests.FORGET_MILLIS)).isFalse();
  }

  private static List<DaemonId> daemons(String prefix, int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> new DaemonId(prefix + "-" + number, 1))
        .toList();
  }
}
