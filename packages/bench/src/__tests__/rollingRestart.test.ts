import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEngine, createPlainService} from '@damaskspool/stand-ins';
import {type DaemonProcess, startDaemonProcess} from '../harness/startDaemonProcess.js';
import {waitFor} from '../harness/startDeployment.js';
import {startSmallDeployment} from '../harness/startSmallDeployment.js';
import {wait} from './authorityFixtures.js';
import {
	callEntry, createChatBody, createSmallDocument, TEST_MODEL,
} from './smallDeploymentFixtures.js';

// Guards against requests that fail because an entry or a sidecar is replaced. Each process drains its open requests
// before it exits, and its replacement gets traffic only once it is ready.
describe('a rolling restart', () => {
	it('replaces every entry and sidecar under load without a failed request', async () => {
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
		// Stands in for a load balancer, which removes an entry before that entry is stopped.
		const balancedAddresses = entries.map(({addresses}) => addresses.listen!);
		const replacements: DaemonProcess[] = [];
		const failures: string[] = [];
		let answered = 0;
		const loadState = {isEnded: false};
		const sendRequests = async (callerIndex: number) => {
			for (let round = callerIndex; !loadState.isEnded; round += 1) {
				const address = balancedAddresses[round % balancedAddresses.length]!;
				const isChat = round % 2 === 0;
				const response = await callEntry(address, isChat ? '/v1/chat/completions' : '/permits', {
					body: isChat ? createChatBody(`question ${round}`, 40) : {reference: `${callerIndex}-${round}`}, headers: {'content-type': 'application/json'},
				});
				if (response.status === 200 && (!isChat || response.body.includes('[DONE]'))) {
					answered += 1;
				} else {
					failures.push(`${response.status} ${response.body}`);
				}

				await wait(20);
			}
		};

		const callers = Promise.all([0, 1, 2, 3, 4, 5].map(async index => sendRequests(index)));
		const commonSettings = {
			region: 'r', availabilityZone: 'a', listen: '127.0.0.1:0', platform: platform.address,
		};
		const exitCodes: Array<number | null> = [];
		for (const {target, sidecar} of sidecars) {
			exitCodes.push(await sidecar.stop());
			const replacement = await startDaemonProcess({
				...commonSettings, role: 'sidecar', instanceId: target.targetId, target: target.address, targetKind: target.kind, concurrency: 16, pieces: target.pieces ?? 0,
			});
			replacements.push(replacement);
			platform.setInstance({
				instanceId: target.targetId, kind: 'target', availabilityZone: 'a', region: 'r', address: replacement.addresses.listen!, state: 'live', serviceId: target.serviceId, incarnation: 2,
			});
			await waitFor(async () => {
				const ready = await fetch(`http://${replacement.addresses.listen}/readyz`);
				return ready.status === 200;
			});
			// Entries read the instance list every 200 ms. The wait lets them use this sidecar again before the next one stops.
			await wait(1500);
		}

		for (const entry of entries) {
			const {instanceId} = entry;
			balancedAddresses.splice(balancedAddresses.indexOf(entry.addresses.listen!), 1);
			exitCodes.push(await entry.stop());
			const replacement = await startDaemonProcess({
				...commonSettings, role: 'entry', instanceId, control: '127.0.0.1:0', pollInterval: '200 ms',
			});
			replacements.push(replacement);
			await waitFor(async () => {
				const metrics = await fetch(`http://${replacement.addresses.control}/metrics`);
				const metricsText = await metrics.text();
				const ready = await fetch(`http://${replacement.addresses.control}/readyz`);
				return ready.status === 200 && metricsText.includes('damaskspool_known_targets 4\n');
			});
			balancedAddresses.push(replacement.addresses.listen!);
		}

		loadState.isEnded = true;
		await callers;
		assert.deepEqual(failures, []);
		assert.ok(answered > 100, `only ${answered} requests were answered`);
		assert.deepEqual(new Set(exitCodes), new Set([0]));
		await Promise.all(replacements.map(async daemon => daemon.stop()));
		await deployment.stop();
		await Promise.all([...engines, ...services].map(async standIn => standIn.close()));
	});
});
