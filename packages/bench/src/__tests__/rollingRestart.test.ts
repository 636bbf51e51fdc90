import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEngine, createPlainService} from '@damaskspool/stand-ins';
import {type DaemonProcess, startDaemonProcess} from '../harness/startDaemonProcess.js';
import {waitFor} from '../harness/startDeployment.js';
import {startSmallDeployment} from '../harness/startSmallDeployment.js';
import {pass} from './authorityFixtures.js';
import {
	callEntry, createChat, createSmallDocument, TEST_MODEL,
} from './smallDeploymentFixtures.js';

describe('a rolling restart', () => {
	it('restarts every entry and sidecar under load without cutting a request', async () => {
		const engines = await Promise.all([1, 2].map(async () => createEngine({models: [TEST_MODEL]})));
		const services = await Promise.all([1, 2].map(async () => createPlainService()));
		const deployment = await startSmallDeployment({
			document: createSmallDocument(),
			entryCount: 2,
			targets: [
				...engines.map(({address}, index) => ({
					targetId: `assistant-${index + 1}`, serviceId: 'assistant', kind: 'engine' as const, address, pieces: 64,
				})),
				...services.map(({address}, index) => ({
					targetId: `booking-${index + 1}`, serviceId: 'booking', kind: 'plain' as const, address,
				})),
			],
		});
		const {platform, entries, sidecars} = deployment;
		// Entries behind the balancer, which takes one out before it is stopped.
		const balanced = entries.map(({addresses}) => addresses.listen!);
		const started: DaemonProcess[] = [];
		const failures: string[] = [];
		let answered = 0;
		const load = {isEnded: false};
		const keepCalling = async (index: number) => {
			for (let turn = index; !load.isEnded; turn += 1) {
				const address = balanced[turn % balanced.length]!;
				const isChat = turn % 2 === 0;
				const answer = await callEntry(address, isChat ? '/v1/chat/completions' : '/permits', {
					body: isChat ? createChat(`question ${turn}`, 40) : {reference: `${index}-${turn}`}, headers: {'content-type': 'application/json'},
				});
				if (answer.status === 200 && (!isChat || answer.body.includes('[DONE]'))) {
					answered += 1;
				} else {
					failures.push(`${answer.status} ${answer.body}`);
				}

				await pass(20);
			}
		};

		const callers = Promise.all([0, 1, 2, 3, 4, 5].map(async index => keepCalling(index)));
		const common = {
			region: 'r', availabilityZone: 'a', listen: '127.0.0.1:0', platform: platform.address,
		};
		const codes: Array<number | null> = [];
		for (const {target, sidecar} of sidecars) {
			codes.push(await sidecar.stop());
			const next = await startDaemonProcess({
				...common, role: 'sidecar', instanceId: target.targetId, target: target.address, targetKind: target.kind, concurrency: 16, pieces: target.pieces ?? 0,
			});
			started.push(next);
			platform.setInstance({
				instanceId: target.targetId, kind: 'target', availabilityZone: 'a', region: 'r', address: next.addresses.listen!, state: 'live', serviceId: target.serviceId, incarnation: 2,
			});
			await waitFor(async () => {
				const ready = await fetch(`http://${next.addresses.listen}/readyz`);
				return ready.status === 200;
			});
			// Entries read the list each 200 ms; the next sidecar leaves only once this one is back in use.
			await pass(1500);
		}

		for (const entry of entries) {
			const {instanceId} = entry;
			balanced.splice(balanced.indexOf(entry.addresses.listen!), 1);
			codes.push(await entry.stop());
			const next = await startDaemonProcess({
				...common, role: 'entry', instanceId, control: '127.0.0.1:0', pollInterval: '200 ms',
			});
			started.push(next);
			await waitFor(async () => {
				const metrics = await fetch(`http://${next.addresses.control}/metrics`);
				const text = await metrics.text();
				const ready = await fetch(`http://${next.addresses.control}/readyz`);
				return ready.status === 200 && text.includes('damaskspool_known_targets 4\n');
			});
			balanced.push(next.addresses.listen!);
		}

		load.isEnded = true;
		await callers;
		assert.deepEqual(failures, []);
		assert.ok(answered > 100, `only ${answered} requests were answered`);
		assert.deepEqual(new Set(codes), new Set([0]));
		await Promise.all(started.map(async daemon => daemon.stop()));
		await deployment.stop();
		await Promise.all([...engines, ...services].map(async standIn => standIn.close()));
	});
});
