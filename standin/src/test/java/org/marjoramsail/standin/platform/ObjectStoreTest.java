package org.marjoramsail.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramsail.standin.platform.StoreException.Reason;

final class ObjectStoreTest {

  private final ObjectStore store = new ObjectStore(3);

  @Test
  void anUpdateOfAnOldVersionIsRefusedAndChangesNothing() throws StoreException {
    StoredEntry first = store.create("leases", "a", spec(1));
    StoredEntry second = store.replace("leases", "a", OptionalLong.of(first.version()), spec(2));

    assertThatThrownBy(
            () -> store.replace("leases", "a", OptionalLong.of(first.version()), spec(3)))
        .isInstanceOfSatisfying(
            StoreException.class,
            failure -> assertThat(failure.reason()).isEqualTo(Reason.CONFLICT));
    assertThat(store.get("leases", "a")).isEqualTo(second);
    assertThat(second.version()).isGreaterThan(first.version());
  }

  @Test
  void aDeletedObjectCanBeCreatedAgainUnderAnotherIdentity() throws StoreException {
    StoredEntry first = store.create("leases", "a", spec(1));
    store.delete("leases", "a", OptionalLong.of(first.version()));

    StoredEntry second = store.create("leases", "a", spec(1));

    assertThat(second.uid()).isNotEqualTo(first.uid());
  }

  @Test
  void aWatchGetsWhatItMissedOfItsKindAndThenWhatHappens() throws StoreException {
    StoredEntry first = store.create("leases", "a", spec(1));
    store.create("orders", "x", spec(1));
    store.create("leases", "b", spec(1));
    List<String> heard = new ArrayList<>();

    Runnable unsubscribe =
        store.subscribe("leases", first.version(), event -> heard.add(event.entry().name()));
    store.create("leases", "c", spec(1));
    unsubscribe.run();
    store.create("leases", "d", spec(1));

    assertThat(heard).containsExactly("b", "c");
  }

  @Test
  void aWatchFromAForgottenVersionIsRefused() throws StoreException {
    StoredEntry first = store.create("leases", "a", spec(0));
    for (int change = 0; change < 4; change++) {
      store.replace("leases", "a", OptionalLong.empty(), spec(change));
    }

    assertThatThrownBy(() -> store.subscribe("leases", first.version(), event -> {}))
        .isInstanceOfSatisfying(
            StoreException.class,
            failure -> assertThat(failure.reason()).isEqualTo(Reason.EXPIRED));
  }

  private static ObjectNode spec(int value) {
    return JsonNodeFactory.instance.objectNode().put("value", value);
  }
}
