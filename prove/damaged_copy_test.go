// ================================================================
// Copies that the disk damages after they are complete. The engine of a VM loads
// a file without checking it, so its agent must neither serve weights that were
// corrupt when the engine read them, nor keep a corrupt copy.
// ================================================================

package prove

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
	"github.com/tidepost/tidepost/pkg/contract"
)

// copyFile returns the file of an agent's complete copy of a version, and the digest of the version.
func (cl *cluster) copyFile(agent, version string) (path string, digest contract.Digest) {
	manifest, err := cl.origin.manifest(context.Background(), "", contract.NewModelVersion("menu", version))
	cl.must(err)
	digest = manifest.Digest()
	return filepath.Join(cl.folder, agent, "weights", digest.String()+".weights"), digest
}

// damageFile flips a bit in the middle of a file, as a disk would.
func (cl *cluster) damageFile(path string) {
	data, err := os.ReadFile(path)
	cl.must(err)
	data[len(data)/2] ^= 1
	cl.must(os.WriteFile(path, data, 0o600))
}

// awaitSoundLoad waits until all replicas are ready, and checks what the engine has loaded and what
// the disk holds.
func (cl *cluster) awaitSoundLoad(agent, version string) {
	cl.t.Helper()
	path, digest := cl.copyFile(agent, version)
	cl.eventually("all replicas ready", func() bool {
		return cl.ready(version) == len(agentLocations) && cl.engines[agent].hasLoaded(digest)
	})
	if content := cl.engines[agent].contentOf(digest); content != digest.String() {
		cl.t.Errorf("a ready engine has loaded weights %.12s, want %.12s", content, digest)
	}
	data, err := os.ReadFile(path)
	if err != nil || contract.ManifestOf(data, chunkSize).Digest() != digest {
		cl.t.Errorf("the copy on disk is still corrupt, %v", err)
	}
}

// Guards against an engine that restarts long after its copy was verified, and loads what the disk has
// damaged since.
func TestCopyDamagedBeforeReloadIsNotServed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.start()
		path, _ := cl.copyFile("agent-1", "v1")
		time.Sleep(time.Minute)
		cl.damageFile(path)
		cl.engines["agent-1"].restart()
		cl.sendChats(60, 20*time.Second, cl.checkComplete)
		time.Sleep(time.Second)
		cl.awaitSoundLoad("agent-1", "v1")
		cl.callers.Wait()
		for _, violation := range cl.record.violations {
			t.Error(violation)
		}
	})
}

// Guards against a disk that damages the copy after its verification and before the engine reads it:
// no check before an order can see that.
func TestCopyDamagedDuringLoadIsNotServed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.start()
		engine := cl.engines["agent-1"]
		engine.setLoadTime(5 * time.Second)
		s, err := cl.status("entry-1")
		cl.must(err)
		_, err = cl.apply("entry-1", "roll", s.Revision(), "v2")
		cl.must(err)
		path, _ := cl.copyFile("agent-1", "v2")
		cl.eventually("an order in progress", func() bool { return engine.ordersReceived() > 1 })
		cl.damageFile(path)
		cl.sendChats(60, 30*time.Second, cl.checkComplete)
		time.Sleep(10 * time.Second)
		cl.awaitSoundLoad("agent-1", "v2")
		cl.callers.Wait()
		for _, violation := range cl.record.violations {
			t.Error(violation)
		}
	})
}

// Guards against a chunk that is corrupt on all VMs that hold it: they refused it to others but stayed
// its holders, so nobody fetched it from the origin. They repair it without leaving service, since
// their engines have loaded it before.
func TestChunkDamagedOnAllHoldersIsFetchedAgain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.start()
		cl.kill("agent-5")
		lost, _ := cl.copyFile("agent-5", "v1")
		cl.must(os.Remove(lost))
		for _, name := range []string{"agent-1", "agent-2", "agent-3", "agent-4"} {
			path, _ := cl.copyFile(name, "v1")
			cl.damageFile(path)
		}
		time.Sleep(time.Minute)
		cl.startAgent("agent-5")
		least := len(agentLocations)
		cl.eventually("the new copy is ready", func() bool {
			ready := cl.ready("v1")
			least = min(least, ready)
			return ready == len(agentLocations)
		})
		if least < len(agentLocations)-1 {
			t.Errorf("at times %d replicas were ready, want at least %d", least, len(agentLocations)-1)
		}
		cl.awaitSoundLoad("agent-5", "v1")
	})
}
