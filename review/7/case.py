"""A node is killed right after it has confirmed a departure."""
import pathlib
import signal
import time

import case_runner
import mesh as platform
from departure import Scene

# A node renews its lease every two seconds, and before a write if the last
# renewal is over a second old.
RENEWAL_AGE_S = 1.3


def await_old_renewal(scene):
    """Waits until the leaver's last renewal is RENEWAL_AGE_S old."""
    store = scene.mesh.store
    renewed = []

    def note(path):
        item = store.items.get("clementinecove/nodes/leaver")
        if item and path.endswith(f"kv-keep/{item['lease_id']}"):
            renewed.append(time.monotonic())
    store.on_call = note
    scene.mesh.await_true("the leaver renews its lease", lambda: renewed)
    time.sleep(max(0.0, renewed[-1] + RENEWAL_AGE_S - time.monotonic()))
    store.on_call = lambda path: None


def play_round(scene, number, has_trouble):
    scene.begin_round(number)
    await_old_renewal(scene)
    arrive = scene.deregister()
    started = time.monotonic()
    if has_trouble:
        leaver = scene.leaver
        leaver.process.send_signal(signal.SIGKILL)
        scene.record.write("the leaver's process is killed")
        leaver.process.wait()
        time.sleep(platform.RESTART_DELAY_S)
        leaver.start()
        started = time.monotonic()
        time.sleep(1.5)
    scene.mesh.await_true("the late report arrives", arrive)
    return scene.requests_reach_it(started) > 0


def scenario(folder, record, has_trouble):
    scene = Scene(folder, record, "z2")
    scene.clients_at = scene.leaver

    def play():
        scene.start()
        return any([play_round(scene, number, has_trouble)
                    for number in range(1, 4)])
    return scene.mesh, play


case_runner.run(pathlib.Path(__file__).parent, scenario)
