"""A node is stopped and started again while its instance leaves."""
import pathlib
import signal
import threading
import time

import case_runner
import mesh as platform
from departure import Scene

ROUNDS = 2
# After SIGTERM: when a client's slow request begins, and when the instance
# deregisters.
SLOW_REQUEST_AT_S = 1.3
DEREGISTERS_AT_S = 4.4


def play_round(scene, number, has_trouble):
    mesh, leaver = scene.mesh, scene.leaver
    scene.begin_round(number)
    begun = time.monotonic()
    started = begun
    if has_trouble:
        leaver.signal(signal.SIGTERM)
    time.sleep(SLOW_REQUEST_AT_S)
    slow = threading.Thread(target=mesh.send, args=(
        leaver, "GET", "/slow/x", "slow.example", f"slow-{number}", b"", 6000))
    slow.start()
    time.sleep(begun + DEREGISTERS_AT_S - time.monotonic())
    arrive = scene.deregister()
    if has_trouble:
        limit = begun + platform.BOUNDS["grace_period_s"] - time.monotonic()
        leaver.process.wait(timeout=limit)
        scene.record.write(f"leaver has ended, {time.monotonic() - begun:.1f} s "
                           "after SIGTERM")
        time.sleep(platform.RESTART_DELAY_S)
        leaver.start()
        started = time.monotonic()
        time.sleep(1.5)
    mesh.await_true("the late report arrives", arrive)
    reached = scene.requests_reach_it(started)
    slow.join()
    return reached > 0


def scenario(folder, record, has_trouble):
    scene = Scene(folder, record)

    def play():
        scene.start()
        return any([play_round(scene, number, has_trouble)
                    for number in range(1, ROUNDS + 1)])
    return scene.mesh, play


case_runner.run(pathlib.Path(__file__).parent, scenario)
